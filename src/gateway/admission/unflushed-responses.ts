/**
 * Responses that have been ended by the gateway but not taken over by the operating system yet: their
 * last bytes are lost if the process ends or the connection is closed.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Tracks the unflushed responses of all connections. */
export class UnflushedResponses {
  private readonly responses = new Set<ServerResponse>();

  /** @param onRemoved - called after each response that was flushed or whose caller disconnected */
  constructor(private readonly onRemoved: () => void = () => undefined) {}

  /** Number of unflushed responses. */
  get count(): number {
    return this.responses.size;
  }

  /** Adds a response that is about to be ended; `socket` is the connection of its request. */
  add(response: ServerResponse, socket: Socket): void {
    this.responses.add(response);
    const remove = () => {
      socket.off('close', remove);
      this.remove(response);
    };
    response.once('finish', remove);
    response.once('close', remove);
    // A pipelined response emits no events if the connection closes before its turn.
    socket.once('close', remove);
  }

  private remove(response: ServerResponse): void {
    if (this.responses.delete(response)) {
      this.onRemoved();
    }
  }
}
