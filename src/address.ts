/** Addresses of processes. */

/** The parts of `IP:PORT`. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `IP:PORT`. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
