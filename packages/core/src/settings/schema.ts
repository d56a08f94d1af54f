/** Schema of the settings file: every section, key and kind of value. */

import {
  addressesField,
  addressField,
  choiceField,
  choicesField,
  decimalField,
  digestField,
  type Field,
  numberField,
  replicasField,
  textField,
  urlField,
} from "./fields.ts";

/** Roles that a daemon can have. */
export const ROLES = {
  ENTRY: "entry",
  REPLICA: "replica",
  SIDECAR: "sidecar",
  GATEWAY: "gateway",
  STORE: "store",
} as const;

/** One of {@linkcode ROLES}. */
export type Role = typeof ROLES[keyof typeof ROLES];

const ENTRY = ROLES.ENTRY;
const REPLICA = ROLES.REPLICA;
const SIDECAR = ROLES.SIDECAR;
const GATEWAY = ROLES.GATEWAY;
const STORE = ROLES.STORE;

/** Field of each section and key; the keys are snake_case in the file. */
export const SETTINGS_SCHEMA = {
  daemon: {
    name: textField("Name of this daemon, unique in the site."),
    roles: choicesField("Roles that this daemon plays.", {
      choices: [ENTRY, REPLICA, SIDECAR, GATEWAY, STORE],
    }),
    failureDomain: textField("Failure domain of this instance."),
    logLevel: choiceField("Minimum level that is logged.", {
      choices: ["debug", "info", "warn", "error"],
      fallback: "info",
    }),
    healthListen: addressField(
      "Address at which health and metrics are served.",
      {
        fallback: "127.0.0.1:0",
      },
    ),
    metricsListen: addressField(
      "Additional address at which metrics are served; none if the port is 0.",
      { fallback: "0.0.0.0:0" },
    ),
    stopMilliseconds: numberField(
      "Maximum time that a planned stop waits for open requests.",
      {
        fallback: 60_000,
        min: 100,
        max: 3_600_000,
      },
    ),
    killSeconds: decimalField(
      "Time from the stop signal until the process is killed; 0 if it is not killed.",
      { fallback: 0, min: 0, max: 3_600 },
    ),
  },
  network: {
    listen: addressField(
      "Address on which this daemon listens for other daemons.",
      {
        fallback: "127.0.0.1:0",
      },
    ),
    advertise: addressField(
      "Address at which other daemons reach this one; defaults to `listen`.",
      {
        fallback: "0.0.0.0:0",
      },
    ),
    sharedKey: textField(
      "Key that every daemon of the site must prove to the others.",
    ),
    replicas: replicasField("All founding replicas of the site.", {
      roles: [ENTRY, REPLICA, SIDECAR],
    }),
    seeds: addressesField(
      "Daemons that gateways and stores contact first to discover the others.",
      { fallback: [] },
    ),
    seedPort: numberField(
      "Port that replaces the ports in `seeds`; 0 to use them as they are.",
      { fallback: 0, min: 0, max: 65_535 },
    ),
    directoryMilliseconds: numberField(
      "Time between two exchanges of the daemon directory.",
      { fallback: 2_000, min: 20, max: 60_000 },
    ),
    programGroups: numberField(
      "Number of program groups; fixed when the site is founded.",
      {
        fallback: 4,
        min: 1,
        max: 64,
      },
    ),
    maxFrameBytes: numberField(
      "Maximum size of an internal frame and of a routing document.",
      {
        fallback: 16_777_216,
        min: 262_144,
        max: 268_435_456,
      },
    ),
    connectMilliseconds: numberField(
      "Timeout for connecting and proving the key.",
      {
        fallback: 1_000,
        min: 10,
        max: 60_000,
      },
    ),
  },
  entry: {
    httpListen: addressField(
      "Address at which callers and operators are served.",
      {
        fallback: "127.0.0.1:8080",
      },
    ),
    operatorTokenSha256: digestField(
      "SHA-256 of the operators' bearer token.",
      { roles: [ENTRY] },
    ),
    maxBodyBytes: numberField(
      "Maximum size of the body of a caller's request.",
      {
        fallback: 2_097_152,
        min: 1_024,
        max: 67_108_864,
      },
    ),
    requestTotalBytes: numberField(
      "Bytes of the bodies of all open requests; one outfit gets at most half of it.",
      { fallback: 67_108_864, min: 1_024, max: 4_294_967_296 },
    ),
    unreadCallBytes: numberField(
      "Unread bytes of a stream above which its caller is disconnected.",
      { fallback: 4_194_304, min: 1_024, max: 1_073_741_824 },
    ),
    unreadTotalBytes: numberField(
      "Unread bytes of all streams above which the slowest caller is disconnected.",
      { fallback: 67_108_864, min: 1_024, max: 4_294_967_296 },
    ),
    staleMilliseconds: numberField(
      "Time without a confirmed configuration after which new work is refused.",
      { fallback: 4_000, min: 200, max: 60_000 },
    ),
    ownerWaitMilliseconds: numberField(
      "Maximum time to look for a leader before a request is refused.",
      { fallback: 8_000, min: 100, max: 600_000 },
    ),
  },
  replica: {
    id: textField("Id of this replica, as in network.replicas.", {
      roles: [REPLICA],
    }),
    dataFolder: textField("Folder for the log and the snapshots.", {
      roles: [REPLICA],
    }),
    standby: choiceField(
      "Whether this replica is a standby rather than a voter.",
      {
        choices: ["yes", "no"],
        fallback: "no",
      },
    ),
    heartbeatMilliseconds: numberField("Time between heartbeats of a leader.", {
      fallback: 100,
      min: 5,
      max: 10_000,
    }),
    electionMilliseconds: numberField(
      "Minimum time without a heartbeat before an election; chosen at random up to twice that.",
      { fallback: 600, min: 20, max: 60_000 },
    ),
    snapshotEntries: numberField(
      "Log entries after which a group takes a snapshot.",
      {
        fallback: 20_000,
        min: 10,
        max: 10_000_000,
      },
    ),
    standbyMilliseconds: numberField(
      "Time without contact after which a standby replaces a voter.",
      { fallback: 30_000, min: 500, max: 86_400_000 },
    ),
    forgetMilliseconds: numberField(
      "Time for which an ended program can still be read.",
      {
        fallback: 3_600_000,
        min: 1_000,
        max: 604_800_000,
      },
    ),
    callsPerProgram: numberField(
      "Maximum number of waiting calls of one program.",
      {
        fallback: 16,
        min: 1,
        max: 10_000,
      },
    ),
    maxAttempts: numberField("Maximum number of attempts for one call.", {
      fallback: 4,
      min: 1,
      max: 100,
    }),
    placement: choiceField("Placement policy.", {
      choices: [
        "expected_finish",
        "least_loaded",
        "prefix_affinity",
        "round_robin",
      ],
      fallback: "expected_finish",
    }),
    cacheWeight: decimalField(
      "Weight of recomputed prompt tokens relative to waiting time; 1 is neutral.",
      { fallback: 1, min: 0, max: 100 },
    ),
    reportMilliseconds: numberField(
      "Time without a report after which a sidecar gets no new work.",
      {
        fallback: 2_500,
        min: 100,
        max: 60_000,
      },
    ),
  },
  sidecar: {
    upstream: textField(
      "Name of the upstream of this sidecar.",
      {
        roles: [SIDECAR],
      },
    ),
    type: choiceField("Kind of upstream.", {
      choices: ["model", "service"],
      fallback: "model",
    }),
    service: textField("Service that the upstream belongs to.", {
      fallback: "none",
    }),
    upstreamUrl: urlField("HTTP address of the upstream.", {
      roles: [SIDECAR],
    }),
    slots: numberField("Number of calls that the upstream runs concurrently.", {
      fallback: 16,
      min: 1,
      max: 4_096,
    }),
    queueLimit: numberField("Maximum number of calls that wait for a slot.", {
      fallback: 64,
      min: 0,
      max: 100_000,
    }),
    order: choiceField("Order of the queue.", {
      choices: ["least_attained", "first_come"],
      fallback: "least_attained",
    }),
    reportMilliseconds: numberField(
      "Time between two reports to the replicas.",
      {
        fallback: 1_000,
        min: 20,
        max: 60_000,
      },
    ),
    keepMilliseconds: numberField(
      "Time for which a finished answer is kept for its owner.",
      {
        fallback: 120_000,
        min: 1_000,
        max: 3_600_000,
      },
    ),
    keptTotalBytes: numberField(
      "Bytes of requests and answers at a sidecar above which it discards finished answers and refuses attempts.",
      { fallback: 67_108_864, min: 1_024, max: 4_294_967_296 },
    ),
    checksFencing: choiceField(
      "Whether the engine rejects outdated fencing numbers.",
      {
        choices: ["yes", "no"],
        fallback: "no",
      },
    ),
    leaseMilliseconds: numberField(
      "Duration of the lease on the orders to the engine.",
      {
        fallback: 5_000,
        min: 200,
        max: 600_000,
      },
    ),
    silentMilliseconds: numberField(
      "Time without data within an answer after which the attempt fails.",
      { fallback: 30_000, min: 50, max: 3_600_000 },
    ),
  },
  gateway: {
    callersListen: addressField("Address at which callers are served.", {
      fallback: "127.0.0.1:0",
    }),
    operatorsListen: addressField("Address at which operators are served.", {
      fallback: "127.0.0.1:0",
    }),
    leaderWaitMilliseconds: numberField(
      "Maximum time that a request waits for the leader of the stores, or for the first document.",
      { fallback: 2_500, min: 0, max: 60_000 },
    ),
    storeCallMilliseconds: numberField(
      "Time without an answer to any call after which a call to a store is retried.",
      { fallback: 400, min: 10, max: 60_000 },
    ),
    followMilliseconds: numberField(
      "Maximum time that the leader holds a request for changes.",
      { fallback: 400, min: 10, max: 60_000 },
    ),
    staleMilliseconds: numberField(
      "Time without contact with the leader after which the gateway is not ready.",
      { fallback: 2_500, min: 100, max: 60_000 },
    ),
    revocationMilliseconds: numberField(
      "Time after the revocation of a key from which no gateway accepts it.",
      { fallback: 5_000, min: 500, max: 3_600_000 },
    ),
    quotaWindowSeconds: decimalField(
      "Length of the window in which the requests of a workspace are counted.",
      { fallback: 5, min: 0.5, max: 3_600 },
    ),
    quotaOverage: decimalField(
      "Fraction of its quota by which a workspace may exceed it within a window.",
      { fallback: 0, min: 0, max: 1 },
    ),
    quotaSlack: numberField(
      "Number of requests by which a workspace may exceed its quota within a window.",
      { fallback: 0, min: 0, max: 1_000_000 },
    ),
    listStaleMilliseconds: numberField(
      "Age of the instance list from which the gateway requests it from any store.",
      { fallback: 2_000, min: 100, max: 60_000 },
    ),
    historyBytes: numberField(
      "Memory for the cache of recent turns.",
      { fallback: 16_777_216, min: 0, max: 4_294_967_296 },
    ),
    maxRequests: numberField("Maximum number of open requests.", {
      fallback: 2_000,
      min: 1,
      max: 1_000_000,
    }),
    requestTotalBytes: numberField(
      "Memory for the bodies and the joined prompts of all requests; one without room is refused.",
      { fallback: 25_165_824, min: 1_048_576, max: 4_294_967_296 },
    ),
    answerTotalBytes: numberField(
      "Memory for answers that are read to their end before they are sent, and for the outputs of turns.",
      { fallback: 16_777_216, min: 1_048_576, max: 4_294_967_296 },
    ),
    bodyStallMilliseconds: numberField(
      "Time without any byte of a body after which its request is refused.",
      { fallback: 5_000, min: 100, max: 3_600_000 },
    ),
    drainMilliseconds: numberField(
      "Minimum time that a planned stop continues to accept requests.",
      { fallback: 2_500, min: 0, max: 60_000 },
    ),
    silentMilliseconds: numberField(
      "Time without data from an upstream after which an idempotent request is sent to another.",
      { fallback: 700, min: 20, max: 60_000 },
    ),
    connectMilliseconds: numberField(
      "Timeout for connecting to an upstream.",
      {
        fallback: 300,
        min: 10,
        max: 60_000,
      },
    ),
    idleMilliseconds: numberField(
      "Idle time after which a connection to an upstream is closed.",
      { fallback: 20_000, min: 10, max: 600_000 },
    ),
    quarantineEnds: numberField(
      "Upstreams that may end while they run a request before it is no longer sent; 0 for no limit.",
      { fallback: 3, min: 0, max: 8 },
    ),
    quarantineMilliseconds: numberField(
      "Time for which such a request is not sent at first; each further upstream that ends doubles it.",
      { fallback: 60_000, min: 100, max: 3_600_000 },
    ),
    sitePlacement: choiceField(
      "Whether the leader of the stores places turns on upstreams: `auto` for services whose upstreams have less than half a slot for each gateway, `off` for none.",
      { fallback: "auto", choices: ["auto", "off"] },
    ),
    maxAnswerBytes: numberField(
      "Largest answer of an upstream; a larger one is broken off.",
      { fallback: 67_108_864, min: 65_536, max: 1_099_511_627_776 },
    ),
    unreadHoldBytes: numberField(
      "Unread bytes of an answer above which its upstream is not read until the caller catches up.",
      { fallback: 65_536, min: 1_024, max: 1_073_741_824 },
    ),
    unreadCallBytes: numberField(
      "Unread bytes of an answer above which its caller is disconnected.",
      { fallback: 4_194_304, min: 1_024, max: 1_073_741_824 },
    ),
    unreadTotalBytes: numberField(
      "Unread bytes of all answers above which the slowest callers are disconnected.",
      { fallback: 33_554_432, min: 1_024, max: 4_294_967_296 },
    ),
    unreadStallMilliseconds: numberField(
      "Time after which a caller that reads nothing of an unread answer is disconnected.",
      { fallback: 60_000, min: 100, max: 3_600_000 },
    ),
    unsentUpstreamBytes: numberField(
      "Bytes of requests that may wait for one upstream to read them before it counts as full.",
      { fallback: 8_388_608, min: 1_024, max: 1_073_741_824 },
    ),
    unsentTotalBytes: numberField(
      "Bytes of requests that may wait for all upstreams to read them.",
      { fallback: 33_554_432, min: 1_024, max: 4_294_967_296 },
    ),
  },
  store: {
    dataFolder: textField("Folder for the log and the snapshots.", {
      roles: [STORE],
    }),
    firstStart: choiceField(
      "Whether the site starts for the first time, so that an empty store may found it.",
      { choices: ["yes", "no", "true", "false"], fallback: "no" },
    ),
    tolerance: numberField("Number of stores that may fail at the same time.", {
      fallback: 1,
      min: 0,
      max: 7,
    }),
    heartbeatMilliseconds: numberField("Time between heartbeats of a leader.", {
      fallback: 75,
      min: 5,
      max: 10_000,
    }),
    electionMilliseconds: numberField(
      "Minimum time without a heartbeat before an election; chosen at random up to twice that.",
      { fallback: 300, min: 20, max: 60_000 },
    ),
    snapshotEntries: numberField(
      "Log entries after which a snapshot is taken.",
      {
        fallback: 20_000,
        min: 10,
        max: 10_000_000,
      },
    ),
    replaceMilliseconds: numberField(
      "Time without contact after which another store replaces a voter.",
      { fallback: 1_600, min: 100, max: 86_400_000 },
    ),
    listAddress: textField(
      "Source of the instance list: an address or a JSON file.",
      { fallback: "none" },
    ),
    listMilliseconds: numberField(
      "Time between two reads of the instance list.",
      {
        fallback: 1_000,
        min: 20,
        max: 60_000,
      },
    ),
  },
};

type ValueOf<F> = F extends Field<infer T> ? T : never;

type Schema = typeof SETTINGS_SCHEMA;

/** The validated settings of a daemon. */
export type Settings = {
  readonly [S in keyof Schema]: {
    readonly [K in keyof Schema[S]]: ValueOf<Schema[S][K]>;
  };
};
