/**
 * Tells the requests on a caller's connection that their caller has left.
 *
 * The connection itself is watched: the end of an answer is told by its own events only while it is the one
 * that is being written, and a caller that does not read may end its side long before the connection closes.
 */
import type { Socket } from 'node:net';

/** The requests of one connection whose answers have not ended. */
export class CallerDeparture {
  private readonly pending = new Set<() => void>();

  constructor(socket: Socket) {
    socket.on('end', () => this.leave());
    socket.on('close', () => this.leave());
  }

  /** Calls back once if the caller leaves before the returned function is called. */
  onLeave(callback: () => void): () => void {
    this.pending.add(callback);
    return () => void this.pending.delete(callback);
  }

  private leave(): void {
    const left = [...this.pending];
    this.pending.clear();
    left.forEach((callback) => callback());
  }
}
