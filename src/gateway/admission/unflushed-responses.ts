/**
 * Responses that have been ended by the gateway but not taken over by the operating system yet: their
 * last bytes are lost if the process ends or the connection is closed.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Tracks the unflushed responses of all connections. */
export class UnflushedResponses {
  private readonly byConnection = new Map<Socket, Set<ServerResponse>>();

  /** @param onRemoved - called after each response that was flushed or whose caller disconnected */
  constructor(private readonly onRemoved: () => void = () => undefined) {}

  /** Number of unflushed responses. */
  get count(): number {
    return [...this.byConnection.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Adds a response that is about to be ended; `socket` is the connection of its request. */
  add(response: ServerResponse, socket: Socket): void {
    this.responsesOf(socket).add(response);
    response.once('finish', () => this.remove(response, socket));
    response.once('close', () => this.remove(response, socket));
  }

  private responsesOf(socket: Socket): Set<ServerResponse> {
    const known = this.byConnection.get(socket);
    if (known !== undefined) {
      return known;
    }
    const responses = new Set<ServerResponse>();
    this.byConnection.set(socket, responses);
    // A pipelined response emits no event if the connection closes before its turn.
    socket.once('close', () => {
      [...responses].forEach((response) => this.remove(response, socket));
      this.byConnection.delete(socket);
    });
    return responses;
  }

  private remove(response: ServerResponse, socket: Socket): void {
    if (this.byConnection.get(socket)?.delete(response) === true) {
      this.onRemoved();
    }
  }
}
