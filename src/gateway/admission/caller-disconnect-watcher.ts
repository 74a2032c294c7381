/**
 * Notifies the requests on a connection that their caller has disconnected.
 *
 * The socket itself is watched, since a response emits its own events only while it is the one
 * being written, and a caller that does not read may end its side long before the connection
 * closes.
 */
import type { Socket } from 'node:net';

/** Tracks the requests of one connection whose responses have not ended. */
export class CallerDisconnectWatcher {
  private readonly callbacks = new Set<() => void>();

  constructor(socket: Socket) {
    socket.on('end', () => this.notifyDisconnect());
    socket.on('close', () => this.notifyDisconnect());
  }

  /** Calls `callback` once if the caller disconnects before the returned function is called. */
  onDisconnect(callback: () => void): () => void {
    this.callbacks.add(callback);
    return () => void this.callbacks.delete(callback);
  }

  private notifyDisconnect(): void {
    const notified = [...this.callbacks];
    this.callbacks.clear();
    notified.forEach((callback) => callback());
  }
}
