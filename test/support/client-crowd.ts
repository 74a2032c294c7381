/** Clients that send what no well-behaved client sends, as fast as it is taken. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** What each client of a crowd does. */
export interface CrowdClient {
  /** Sent once, right after the connection is open. */
  readonly first?: Buffer;
  /** Sent again and again after that; nothing if omitted. */
  readonly repeated?: Buffer;
  /** Bytes after which the client sends no more. */
  readonly maxBytes?: number;
  /** Whether it reads responses. Default false. */
  readonly reads?: boolean;
  /** Whether it connects again when its connection is closed. Default true. */
  readonly reconnects?: boolean;
}

/** Where clients connect to. */
export interface ClientTarget {
  readonly host: string;
  readonly port: number;
}

/** Default of `maxBytes`. */
const MAX_BYTES = 64 * 1024 * 1024;
const RECONNECT_MS = 20;

/** A number of equal clients. */
export class ClientCrowd {
  /** Bytes that the operating system has taken from all clients. */
  sentBytes = 0;
  /** Connections that were closed by the other side. */
  closedCount = 0;
  private readonly sockets = new Set<Socket>();
  private hasLeft = false;

  constructor(
    private readonly target: ClientTarget,
    private readonly client: CrowdClient,
    count: number,
  ) {
    for (let index = 0; index < count; index += 1) {
      this.connect();
    }
  }

  /** Closes every connection at once. */
  leave(): void {
    this.hasLeft = true;
    this.sockets.forEach((socket) => socket.destroy());
  }

  private connect(): void {
    const { first, repeated, maxBytes = MAX_BYTES, reads = false } = this.client;
    const socket = connect({ ...this.target, noDelay: true });
    this.sockets.add(socket);
    let queuedBytes = 0;
    const send = (bytes: Buffer): boolean => {
      queuedBytes += bytes.length;
      return socket.write(bytes, (error) => {
        this.sentBytes += error ? 0 : bytes.length;
      });
    };
    const sendMore = () => {
      while (repeated !== undefined && queuedBytes < maxBytes && !socket.destroyed) {
        if (!send(repeated)) {
          return;
        }
      }
    };
    socket.on('connect', () => {
      if (first === undefined || send(first)) {
        sendMore();
      }
    });
    socket.on('drain', sendMore);
    socket.on('error', () => undefined);
    socket.on('close', () => this.handleClose(socket));
    if (reads) {
      socket.resume();
    } else {
      socket.pause();
    }
  }

  private handleClose(socket: Socket): void {
    this.sockets.delete(socket);
    if (this.hasLeft) {
      return;
    }
    this.closedCount += 1;
    if (this.client.reconnects !== false) {
      setTimeout(() => this.reconnect(), RECONNECT_MS);
    }
  }

  private reconnect(): void {
    if (!this.hasLeft) {
      this.connect();
    }
  }
}
