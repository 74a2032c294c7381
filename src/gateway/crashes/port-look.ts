/** Looks whether anything listens at a back end's address, by a connection that is closed at once. */
import { connect } from 'node:net';
import { splitAddress } from '../../address.js';

/** What a look showed. */
export type PortState = 'open' | 'closed' | 'unknown';

/** Longest time for a look, in milliseconds; an address that says nothing shows nothing. */
const LOOK_TIMEOUT_MS = 300;

/** Looks at `address`, IP:PORT; never fails. */
export function lookAtPort(address: string): Promise<PortState> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: LOOK_TIMEOUT_MS });
    const end = (state: PortState) => {
      socket.destroy();
      resolve(state);
    };
    socket.once('connect', () => end('open'));
    socket.once('timeout', () => end('unknown'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      end(error.code === 'ECONNREFUSED' ? 'closed' : 'unknown'),
    );
  });
}
