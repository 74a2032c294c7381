/**
 * Probes whether a process listens at a backend's address by opening a connection and closing it
 * immediately.
 */
import { connect } from 'node:net';
import { splitAddress } from '../../address.js';

/** Result of a probe. */
export type PortState = 'open' | 'closed' | 'unknown';

/** Probe timeout, in milliseconds; a timeout proves nothing about the process. */
const PROBE_TIMEOUT_MS = 300;

/** Probes `address` (IP:PORT); never rejects. */
export function probePort(address: string): Promise<PortState> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: PROBE_TIMEOUT_MS });
    const finish = (state: PortState) => {
      socket.destroy();
      resolve(state);
    };
    socket.once('connect', () => finish('open'));
    socket.once('timeout', () => finish('unknown'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? 'closed' : 'unknown'),
    );
  });
}
