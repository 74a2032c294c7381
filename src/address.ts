/** Network addresses of processes. */
import { isIPv4 } from 'node:net';

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

const MAX_PORT = 65_535;

/** Whether `text` is an IPv4 address and a port, IP:PORT. */
export function isAddress(text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':');
  const hasPort = /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT;
  return rest.length === 0 && isIPv4(host) && hasPort;
}
