/** HTTP agent that closes idle connections on which data arrives. */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/**
 * Keep-alive agent that closes an idle connection on which data arrives: such bytes belong to no
 * request, and the next request would take them for its response.
 */
export class SurplusGuardAgent extends Agent {
  private readonly guards = new WeakMap<Duplex, () => void>();

  /** Returns whether the connection may be reused. */
  override keepSocketAlive(stream: Duplex): boolean {
    if (stream.readableLength > 0) {
      this.onSurplus?.(stream as Socket);
      return false;
    }
    // The declared type lacks the result, by which the base class rejects a connection.
    const isKept = super.keepSocketAlive(stream) as unknown as boolean;
    const closeOnData = () => {
      this.onSurplus?.(stream as Socket);
      stream.destroy();
    };
    this.guards.set(stream, closeOnData);
    stream.on('data', closeOnData);
    return isKept;
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    const closeOnData = this.guards.get(stream);
    if (closeOnData !== undefined) {
      stream.removeListener('data', closeOnData);
    }
    super.reuseSocket(stream, request);
  }

  /** Called with an idle connection on which data arrived, before it is closed. */
  protected onSurplus?(socket: Socket): void;
}
