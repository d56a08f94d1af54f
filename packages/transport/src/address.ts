/** Addresses of the form host:port. */

/** An address in its two parts. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address.
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

/** Joins the two parts of an address. */
export function joinAddress(address: HostAndPort): string {
  const host = address.host.includes(":") ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}
