/** Closes the connections of callers that send more than is allowed. */
import type { Socket } from 'node:net';

/** Why the connection of a caller is closed; part of the log format. */
export type RejectionCause =
  /** It sent more than a whole request while as many as allowed were open. */
  | 'too-far-ahead'
  /** All callers together held too much memory, and it held the most. */
  | 'memory';

/** Closes connections and reports why. */
export class RejectedConnections {
  constructor(private readonly onRejected: (cause: RejectionCause) => void) {}

  /** Closes the connection at once; its requests that have not ended get no response. */
  closeNow(socket: Socket, cause: RejectionCause): void {
    this.onRejected(cause);
    socket.destroy();
  }
}
