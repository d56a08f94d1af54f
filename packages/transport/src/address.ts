/** Parses and formats addresses of the form host:port. */

/** Host and port of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address into host and port; brackets around an IPv6 host are
 * removed.
 *
 * @example
 * ```ts
 * parseAddress("127.0.0.1:7100"); // { host: "127.0.0.1", port: 7100 }
 * parseAddress("[::1]:7100"); // { host: "::1", port: 7100 }
 * ```
 */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Formats host and port as an address; an IPv6 host is put in brackets. */
export function joinAddress(address: HostAndPort): string {
  const host = address.host.includes(":") ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}
