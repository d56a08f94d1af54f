/** Kinds of settings values: how each is read, checked and described. */

/** How one kind of value is read from the text in the INI file. */
export interface Field<T> {
  /** Value when the key is missing; undefined if the key is required. */
  readonly fallback: T | undefined;
  /** What is allowed, in words. */
  readonly allowed: string;
  /** What the key means, in one sentence. */
  readonly description: string;
  /** Roles that need the key; missing if every daemon does. */
  readonly roles?: readonly string[];
  /** Returns the value, or undefined if the text is not allowed. */
  parse(text: string): T | undefined;
}

interface FieldOptions<T> {
  readonly fallback?: T;
  readonly roles?: readonly string[];
}

/** A text that is not empty. */
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

/** A whole number within limits. */
export function numberField(
  description: string,
  options: FieldOptions<number> & {
    readonly least: number;
    readonly most: number;
  },
): Field<number> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: `a whole number from ${options.least} to ${options.most}`,
    parse(text) {
      if (!/^\d{1,15}$/.test(text)) return undefined;
      const value = Number(text);
      return value >= options.least && value <= options.most
        ? value
        : undefined;
    },
  };
}

/** A decimal number within limits. */
export function decimalField(
  description: string,
  options: FieldOptions<number> & {
    readonly least: number;
    readonly most: number;
  },
): Field<number> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: `a number from ${options.least} to ${options.most}`,
    parse(text) {
      if (!/^\d{1,12}(\.\d{1,12})?$/.test(text)) return undefined;
      const value = Number(text);
      return value >= options.least && value <= options.most
        ? value
        : undefined;
    },
  };
}

/** One of a few words. */
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

/** Words from a set, separated by commas. */
export function wordsField<T extends string>(
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
      const words = text.split(",").map((word) => word.trim());
      const found: T[] = [];
      for (const word of words) {
        const choice = options.choices.find((candidate) => candidate === word);
        if (choice === undefined) return undefined;
        found.push(choice);
      }
      return found;
    },
  };
}

/** An address of the form host:port, with an IP number as the host. */
export function addressField(
  description: string,
  options: FieldOptions<string> = {},
): Field<string> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: "an IP number and a port, such as 127.0.0.1:7100",
    parse: (text) => isAddress(text) ? text : undefined,
  };
}

/** A replica as other daemons find it. */
export interface ReplicaAddress {
  readonly replicaId: string;
  readonly address: string;
}

/** A list of id=host:port, separated by commas. */
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

/** A list of addresses, separated by commas; an empty one is allowed. */
export function addressesField(
  description: string,
  options: FieldOptions<readonly string[]> = {},
): Field<readonly string[]> {
  return {
    fallback: options.fallback,
    roles: options.roles,
    description,
    allowed: "IP numbers with ports, such as 127.0.0.1:7100, by commas",
    parse(text) {
      if (text.trim() === "") return [];
      const addresses = text.split(",").map((part) => part.trim());
      return addresses.every(isAddress) ? addresses : undefined;
    },
  };
}

/** An HTTP address of an upstream. */
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

/** A SHA-256 in hexadecimal. */
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
