/** Every section and key of the settings file. */

import {
  addressField,
  choiceField,
  decimalField,
  digestField,
  type Field,
  numberField,
  replicasField,
  textField,
  urlField,
  wordsField,
} from "./fields.ts";

/** Roles that a daemon can play. */
export const ROLES = {
  ENTRY: "entry",
  REPLICA: "replica",
  SIDECAR: "sidecar",
} as const;

/** One of {@linkcode ROLES}. */
export type Role = typeof ROLES[keyof typeof ROLES];

const ENTRY = ROLES.ENTRY;
const REPLICA = ROLES.REPLICA;
const SIDECAR = ROLES.SIDECAR;

/** The schema: section, key, kind of value. Keys are snake_case in the file. */
export const SETTINGS_SCHEMA = {
  daemon: {
    name: textField("Name of this daemon, unique in the site."),
    roles: wordsField("Roles that this daemon plays.", {
      choices: [ENTRY, REPLICA, SIDECAR],
    }),
    failureDomain: textField("Failure domain of this instance."),
    logLevel: choiceField("Least level that is logged.", {
      choices: ["debug", "info", "warn", "error"],
      fallback: "info",
    }),
    healthListen: addressField("Where health and metrics are served.", {
      fallback: "127.0.0.1:0",
    }),
    stopMilliseconds: numberField(
      "Longest time that a planned stop waits for open requests.",
      {
        fallback: 60_000,
        least: 100,
        most: 3_600_000,
      },
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
    replicas: replicasField("All founding replicas of the site."),
    programGroups: numberField(
      "Number of program groups; fixed when the site is founded.",
      {
        fallback: 4,
        least: 1,
        most: 64,
      },
    ),
    maxFrameBytes: numberField("Largest internal frame.", {
      fallback: 16_777_216,
      least: 65_536,
      most: 268_435_456,
    }),
    connectMilliseconds: numberField(
      "Longest time to connect and prove the key.",
      {
        fallback: 1_000,
        least: 10,
        most: 60_000,
      },
    ),
  },
  entry: {
    httpListen: addressField("Where callers and operators are served.", {
      fallback: "127.0.0.1:8080",
    }),
    operatorTokenSha256: digestField(
      "SHA-256 of the operators' bearer token.",
      { role: ENTRY },
    ),
    maxBodyBytes: numberField("Largest body of a caller's request.", {
      fallback: 2_097_152,
      least: 1_024,
      most: 67_108_864,
    }),
    staleMilliseconds: numberField(
      "Time without a confirmed configuration after which new work is refused.",
      { fallback: 4_000, least: 200, most: 60_000 },
    ),
    ownerWaitMilliseconds: numberField(
      "Longest time to look for a leader before a request is refused.",
      { fallback: 8_000, least: 100, most: 600_000 },
    ),
  },
  replica: {
    id: textField("Id of this replica, as in network.replicas.", {
      role: REPLICA,
    }),
    dataFolder: textField("Folder for the log and the snapshots.", {
      role: REPLICA,
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
      least: 5,
      most: 10_000,
    }),
    electionMilliseconds: numberField(
      "Least time without a heartbeat before an election; up to twice that at random.",
      { fallback: 600, least: 20, most: 60_000 },
    ),
    snapshotEntries: numberField(
      "Log entries after which a group takes a snapshot.",
      {
        fallback: 20_000,
        least: 10,
        most: 10_000_000,
      },
    ),
    standbyMilliseconds: numberField(
      "Silence of a voter after which a standby takes its place.",
      { fallback: 30_000, least: 500, most: 86_400_000 },
    ),
    forgetMilliseconds: numberField(
      "Time for which an ended program can still be read.",
      {
        fallback: 3_600_000,
        least: 1_000,
        most: 604_800_000,
      },
    ),
    callsPerProgram: numberField("Most calls of one program that may wait.", {
      fallback: 16,
      least: 1,
      most: 10_000,
    }),
    maxAttempts: numberField("Most attempts for one call.", {
      fallback: 4,
      least: 1,
      most: 100,
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
      { fallback: 1, least: 0, most: 100 },
    ),
    reportMilliseconds: numberField(
      "Silence after which a sidecar gets no new work.",
      {
        fallback: 2_500,
        least: 100,
        most: 60_000,
      },
    ),
  },
  sidecar: {
    upstream: textField(
      "Name of the upstream that this sidecar stands beside.",
      {
        role: SIDECAR,
      },
    ),
    type: choiceField("Kind of upstream.", {
      choices: ["model", "service"],
      fallback: "model",
    }),
    service: textField("Service that the upstream is part of.", {
      fallback: "none",
    }),
    upstreamUrl: urlField("HTTP address of the upstream.", { role: SIDECAR }),
    slots: numberField("Calls that the upstream runs at once.", {
      fallback: 16,
      least: 1,
      most: 4_096,
    }),
    queueLimit: numberField("Calls that may wait for a slot.", {
      fallback: 64,
      least: 0,
      most: 100_000,
    }),
    order: choiceField("Order of the queue.", {
      choices: ["least_attained", "first_come"],
      fallback: "least_attained",
    }),
    reportMilliseconds: numberField(
      "Time between two reports to the replicas.",
      {
        fallback: 1_000,
        least: 20,
        most: 60_000,
      },
    ),
    keepMilliseconds: numberField(
      "Time for which a finished answer is kept for its owner.",
      {
        fallback: 120_000,
        least: 1_000,
        most: 3_600_000,
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
        least: 200,
        most: 600_000,
      },
    ),
    silentMilliseconds: numberField(
      "Silence of the upstream within an answer after which the attempt has failed.",
      { fallback: 30_000, least: 50, most: 3_600_000 },
    ),
  },
};

type ValueOf<F> = F extends Field<infer T> ? T : never;

type Schema = typeof SETTINGS_SCHEMA;

/** The checked settings of a daemon. */
export type Settings = {
  readonly [S in keyof Schema]: {
    readonly [K in keyof Schema[S]]: ValueOf<Schema[S][K]>;
  };
};
