/** Closes the connections of callers that send more than is allowed. */
import type { Socket } from 'node:net';
import type { Clock } from '../../clock.js';
import type { ConnectionInput } from '../../http/connection-input.js';

/** Why the connection of a caller is closed; part of the log format. */
export type RejectionCause =
  /** It sent more than a whole request while as many as allowed were open. */
  | 'too-far-ahead'
  /** All callers together held too much memory, and it held the most. */
  | 'memory'
  /** As many connections as allowed were open, and it was the oldest without an open request. */
  | 'too-many-connections';

/** Time for which a connection is read on after its last response, in milliseconds. */
const LINGER_MS = 1_000;
/** Bytes that are read and dropped in that time. */
const MAX_DISCARDED_BYTES = 16 * 1_024 * 1_024;

/** Closes connections and reports why. */
export class RejectedConnections {
  private readonly discardedBytes = new WeakMap<Socket, number>();

  constructor(
    private readonly clock: Pick<Clock, 'setTimeout'>,
    private readonly onRejected: (cause: RejectionCause) => void,
  ) {}

  /**
   * Closes the connection after what was written to it. What the caller still sends is read and
   * dropped for a moment: closing a connection with unread input would drop the response.
   */
  closeAfterResponse(socket: Socket, input: ConnectionInput): void {
    input.discard();
    socket.end();
    socket.resume();
    this.clock.setTimeout(() => socket.destroy(), LINGER_MS);
  }

  /** Counts dropped input of a connection; closes it if there is too much. */
  countDiscarded(socket: Socket, bytes: number): void {
    const discarded = (this.discardedBytes.get(socket) ?? 0) + bytes;
    this.discardedBytes.set(socket, discarded);
    if (discarded > MAX_DISCARDED_BYTES) {
      socket.destroy();
    }
  }

  /** Closes the connection at once; its requests that have not ended get no response. */
  closeNow(socket: Socket, cause: RejectionCause): void {
    this.onRejected(cause);
    socket.destroy();
  }
}
