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
    logLevel: choiceField("Least level that is logged.", {
      choices: ["debug", "info", "warn", "error"],
      fallback: "info",
    }),
    healthListen: addressField("Where health and metrics are served.", {
      fallback: "127.0.0.1:0",
    }),
    metricsListen: addressField(
      "Where metrics are served besides; nowhere else if the port is 0.",
      { fallback: "0.0.0.0:0" },
    ),
    stopMilliseconds: numberField(
      "Longest time that a planned stop waits for open requests.",
      {
        fallback: 60_000,
        min: 100,
        max: 3_600_000,
      },
    ),
    killSeconds: decimalField(
      "Time from the order to stop until the process is killed; 0 if it is not.",
      { fallback: 0, min: 0, max: 3_600 },
    ),
  },
  network: {
    listen: addressField("Where this daemon listens for other daemons.", {
      fallback: "127.0.0.1:0",
    }),
    advertise: addressField(
      "Address that other daemons reach this one at; `listen` if missing.",
      {
        fallback: "0.0.0.0:0",
      },
    ),
    sharedKey: textField(
      "Key that every daemon of the site proves to the others.",
    ),
    replicas: replicasField("All founding replicas of the site.", {
      roles: [ENTRY, REPLICA, SIDECAR],
    }),
    seeds: addressesField(
      "Daemons that gateways and stores ask first for the others.",
      { fallback: [] },
    ),
    seedPort: numberField(
      "Port of the seeds for other daemons, if `seeds` has other ports; 0 if not.",
      { fallback: 0, min: 0, max: 65_535 },
    ),
    directoryMilliseconds: numberField(
      "Time between two exchanges of the directory of daemons.",
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
      "Largest internal frame, and largest routing document.",
      {
        fallback: 16_777_216,
        min: 262_144,
        max: 268_435_456,
      },
    ),
    connectMilliseconds: numberField(
      "Longest time to connect and prove the key.",
      {
        fallback: 1_000,
        min: 10,
        max: 60_000,
      },
    ),
  },
  entry: {
    httpListen: addressField("Where callers and operators are served.", {
      fallback: "127.0.0.1:8080",
    }),
    operatorTokenSha256: digestField(
      "SHA-256 of the operators' bearer token.",
      { roles: [ENTRY] },
    ),
    maxBodyBytes: numberField("Largest body of a caller's request.", {
      fallback: 2_097_152,
      min: 1_024,
      max: 67_108_864,
    }),
    staleMilliseconds: numberField(
      "Time without a confirmed configuration after which new work is refused.",
      { fallback: 4_000, min: 200, max: 60_000 },
    ),
    ownerWaitMilliseconds: numberField(
      "Longest time to look for a leader before a request is refused.",
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
      "Least time without a heartbeat before an election; up to twice that at random.",
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
      "Silence of a voter after which a standby takes its place.",
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
    callsPerProgram: numberField("Most calls of one program that may wait.", {
      fallback: 16,
      min: 1,
      max: 10_000,
    }),
    maxAttempts: numberField("Most attempts for one call.", {
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
      "Weight of prompt tokens computed again against waiting time; 1 is neutral.",
      { fallback: 1, min: 0, max: 100 },
    ),
    reportMilliseconds: numberField(
      "Silence after which a sidecar gets no new work.",
      {
        fallback: 2_500,
        min: 100,
        max: 60_000,
      },
    ),
  },
  sidecar: {
    upstream: textField(
      "Name of the upstream that this sidecar stands beside.",
      {
        roles: [SIDECAR],
      },
    ),
    type: choiceField("Kind of upstream.", {
      choices: ["model", "service"],
      fallback: "model",
    }),
    service: textField("Service that the upstream is part of.", {
      fallback: "none",
    }),
    upstreamUrl: urlField("HTTP address of the upstream.", {
      roles: [SIDECAR],
    }),
    slots: numberField("Calls that the upstream runs at once.", {
      fallback: 16,
      min: 1,
      max: 4_096,
    }),
    queueLimit: numberField("Calls that may wait for a slot.", {
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
    checksFencing: choiceField(
      "Whether the engine refuses an old fencing number.",
      {
        choices: ["yes", "no"],
        fallback: "no",
      },
    ),
    leaseMilliseconds: numberField(
      "Length of the lease on the orders to the engine.",
      {
        fallback: 5_000,
        min: 200,
        max: 600_000,
      },
    ),
    silentMilliseconds: numberField(
      "Silence of the upstream within an answer after which the attempt has failed.",
      { fallback: 30_000, min: 50, max: 3_600_000 },
    ),
  },
  gateway: {
    callersListen: addressField("Where callers are served.", {
      fallback: "127.0.0.1:0",
    }),
    operatorsListen: addressField("Where operators are served.", {
      fallback: "127.0.0.1:0",
    }),
    leaderWaitMilliseconds: numberField(
      "Longest time that a request waits for the leader of the stores, or for the first document.",
      { fallback: 2_500, min: 0, max: 60_000 },
    ),
    storeCallMilliseconds: numberField(
      "Longest time for one call to a store before another try.",
      { fallback: 400, min: 10, max: 60_000 },
    ),
    followMilliseconds: numberField(
      "Longest time that the leader holds a request for changes.",
      { fallback: 400, min: 10, max: 60_000 },
    ),
    staleMilliseconds: numberField(
      "Time without a word from the leader after which the gateway is not ready.",
      { fallback: 2_500, min: 100, max: 60_000 },
    ),
    revocationMilliseconds: numberField(
      "Time after its revocation from which no gateway accepts a key.",
      { fallback: 5_000, min: 500, max: 3_600_000 },
    ),
    quotaWindowSeconds: decimalField(
      "Span over which the requests of a workspace are counted.",
      { fallback: 5, min: 0.5, max: 3_600 },
    ),
    quotaOverage: decimalField(
      "Part of its quota by which a workspace may pass it within a window.",
      { fallback: 0, min: 0, max: 1 },
    ),
    quotaSlack: numberField(
      "Requests by which a workspace may pass its quota within a window.",
      { fallback: 0, min: 0, max: 1_000_000 },
    ),
    listStaleMilliseconds: numberField(
      "Age of the instance list from which the gateway asks any store for it.",
      { fallback: 2_000, min: 100, max: 60_000 },
    ),
    historyBytes: numberField(
      "Memory for turns that the gateway has seen lately.",
      { fallback: 16_777_216, min: 0, max: 4_294_967_296 },
    ),
    maxRequests: numberField("Requests that may be open at once.", {
      fallback: 2_000,
      min: 1,
      max: 1_000_000,
    }),
    drainMilliseconds: numberField(
      "Least time that a planned stop goes on taking requests.",
      { fallback: 2_500, min: 0, max: 60_000 },
    ),
    silentMilliseconds: numberField(
      "Silence of an upstream after which an idempotent request goes elsewhere.",
      { fallback: 700, min: 20, max: 60_000 },
    ),
    connectMilliseconds: numberField(
      "Longest time to connect to an upstream.",
      {
        fallback: 300,
        min: 10,
        max: 60_000,
      },
    ),
    idleMilliseconds: numberField(
      "Rest after which a connection to an upstream is closed.",
      { fallback: 20_000, min: 10, max: 600_000 },
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
    tolerance: numberField("Stores that may be lost at once.", {
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
      "Least time without a heartbeat before an election; up to twice that at random.",
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
      "Silence of a voter after which another store takes its place.",
      { fallback: 1_600, min: 100, max: 86_400_000 },
    ),
    listAddress: textField(
      "Where the instance list is read: an address, or a JSON file.",
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
