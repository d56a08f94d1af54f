/** Kinds of settings values: how each is parsed, validated and described. */

/** Parses and describes one kind of value in the INI file. */
export interface Field<T> {
  /** Default if the key is missing; undefined if the key is required. */
  readonly fallback: T | undefined;
  /** Describes the allowed values. */
  readonly allowed: string;
  /** Describes the key in one sentence. */
  readonly description: string;
  /** Roles that require the key; missing if every daemon requires it. */
  readonly roles?: readonly string[];
  /** Returns the value, or undefined if the text is not allowed. */
  parse(text: string): T | undefined;
}

interface FieldOptions<T> {
  readonly fallback?: T;
  readonly roles?: readonly string[];
}

/** A text field that must not be empty. */
export function textField(
  description: string,
  options: FieldOptions<string> = {},
): Field<string> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: "any text that is not empty",
    parse: (text) => text === "" ? undefined : text,
  };
}

/** A whole number in a range. */
export function numberField(
  description: string,
  options: FieldOptions<number> & {
    readonly min: number;
    readonly max: number;
  },
): Field<number> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: `a whole number from ${options.min} to ${options.max}`,
    parse(text) {
      if (!/^\d{1,15}$/.test(text)) return undefined;
      const value = Number(text);
      return value >= options.min && value <= options.max ? value : undefined;
    },
  };
}

/** A decimal number in a range. */
export function decimalField(
  description: string,
  options: FieldOptions<number> & {
    readonly min: number;
    readonly max: number;
  },
): Field<number> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: `a number from ${options.min} to ${options.max}`,
    parse(text) {
      if (!/^\d{1,12}(\.\d{1,12})?$/.test(text)) return undefined;
      const value = Number(text);
      return value >= options.min && value <= options.max ? value : undefined;
    },
  };
}

/** One of several choices. */
export function choiceField<T extends string>(
  description: string,
  options: FieldOptions<T> & { readonly choices: readonly T[] },
): Field<T> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: `one of ${options.choices.join(", ")}`,
    parse: (text) => options.choices.find((choice) => choice === text),
  };
}

/** One or more of several choices, separated by commas. */
export function choicesField<T extends string>(
  description: string,
  options: FieldOptions<readonly T[]> & { readonly choices: readonly T[] },
): Field<readonly T[]> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: `one or more of ${
      options.choices.join(", ")
    }, separated by commas`,
    parse(text) {
      const parts = text.split(",").map((part) => part.trim());
      const found: T[] = [];
      for (const part of parts) {
        const choice = options.choices.find((candidate) => candidate === part);
        if (choice === undefined) return undefined;
        found.push(choice);
      }
      return found;
    },
  };
}

/** An address of the form host:port, where the host is an IP address. */
export function addressField(
  description: string,
  options: FieldOptions<string> = {},
): Field<string> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: "an IP address and a port, such as 127.0.0.1:7100",
    parse: (text) => isAddress(text) ? text : undefined,
  };
}

/** Id and address of a replica, as other daemons connect to it. */
export interface ReplicaAddress {
  readonly replicaId: string;
  readonly address: string;
}

/** A list of replicas of the form id=host:port, separated by commas. */
export function replicasField(
  description: string,
  options: FieldOptions<readonly ReplicaAddress[]> = {},
): Field<readonly ReplicaAddress[]> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: "id=host:port, separated by commas, each id once",
    parse(text) {
      const replicas: ReplicaAddress[] = [];
      for (const part of text.split(",")) {
        const match = /^([a-z0-9-]{1,40})=(.+)$/.exec(part.trim());
        if (match === null || !isAddress(match[2] ?? "")) return undefined;
        const replica = { replicaId: match[1] ?? "", address: match[2] ?? "" };
        if (replicas.some((other) => other.replicaId === replica.replicaId)) {
          return undefined;
        }
        replicas.push(replica);
      }
      return replicas;
    },
  };
}

/** A list of addresses, separated by commas; it may be empty. */
export function addressesField(
  description: string,
  options: FieldOptions<readonly string[]> = {},
): Field<readonly string[]> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed:
      "IP addresses with ports, such as 127.0.0.1:7100, separated by commas",
    parse(text) {
      if (text.trim() === "") return [];
      const addresses = text.split(",").map((part) => part.trim());
      return addresses.every(isAddress) ? addresses : undefined;
    },
  };
}

/** An HTTP or HTTPS URL without a path. */
export function urlField(
  description: string,
  options: FieldOptions<string> = {},
): Field<string> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: "an address such as http://127.0.0.1:9000",
    parse: (text) => /^https?:\/\/[^\s/]+$/.test(text) ? text : undefined,
  };
}

/** A SHA-256 in lowercase hexadecimal. */
export function digestField(
  description: string,
  options: FieldOptions<string> = {},
): Field<string> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: "64 hexadecimal digits, the SHA-256 of the token",
    parse: (text) => /^[0-9a-f]{64}$/.test(text) ? text : undefined,
  };
}

function isAddress(text: string): boolean {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/.exec(
    text,
  );
  if (match === null) return false;
  const port = Number(match[2]);
  return port <= 65_535;
}
