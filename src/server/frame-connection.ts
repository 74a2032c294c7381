/**
 * A TCP connection between an entry and an agent. Messages queued in one turn of the event loop are
 * sent as one frame in one write.
 */
import type { Socket } from 'node:net';
import type { ProtocolError } from '../protocol/errors.js';
import { FrameDecoder, FrameEncoder } from '../protocol/framing.js';
import type { Frame, Message } from '../protocol/messages.js';

/** Callbacks for the events of a connection. */
export interface FrameConnectionHandlers {
  /** Called for each received frame, in order. */
  onFrame(frame: Frame): void;
  /** Called once, when the connection is closed; `error` is set after a protocol error. */
  onClose(error: ProtocolError | undefined): void;
}

/** Maximum unsent bytes to a peer that does not read; beyond it the connection is closed. */
const MAX_BACKLOG_BYTES = 64 * 1024 * 1024;

/** A framed TCP connection to an entry or agent. */
export class FrameConnection {
  private readonly encoder = new FrameEncoder();
  private readonly decoder: FrameDecoder;
  private outbox: Message[] = [];
  private isFlushScheduled = false;
  private isClosed = false;

  constructor(
    private readonly socket: Socket,
    private readonly handlers: FrameConnectionHandlers,
    private readonly policyGeneration: () => number,
    maxFrameBytes: number,
  ) {
    this.decoder = new FrameDecoder(maxFrameBytes);
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.on('end', () => this.handleEndOfInput());
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  /** Queues `message`; all messages queued in one turn of the event loop are sent in one frame. */
  send(message: Message): void {
    this.outbox.push(message);
    if (!this.isFlushScheduled) {
      this.isFlushScheduled = true;
      setImmediate(() => this.flush());
    }
  }

  /** Closes the connection; unsent messages are lost. */
  close(error?: ProtocolError): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.socket.destroy();
    this.handlers.onClose(error);
  }

  private flush(): void {
    this.isFlushScheduled = false;
    const messages = this.outbox;
    this.outbox = [];
    if (this.isClosed || messages.length === 0) {
      return;
    }
    this.socket.write(this.encoder.encode({ generation: this.policyGeneration(), messages }));
    if (this.socket.writableLength > MAX_BACKLOG_BYTES) {
      this.close();
    }
  }

  private receive(bytes: Buffer): void {
    const frames = this.decoder.push(bytes);
    if (!frames.ok) {
      this.close(frames.val);
      return;
    }
    for (const frame of frames.val) {
      if (!this.isClosed) {
        this.handlers.onFrame(frame);
      }
    }
  }

  private handleEndOfInput(): void {
    const result = this.decoder.end();
    this.close(result.ok ? undefined : result.val);
  }
}

/** Open connections of a process, one per peer. */
export class ConnectionTable {
  private readonly byPeer = new Map<string, { connection: FrameConnection; number: number }>();

  /** Registers the connection to `peer` and closes the previous one, if any. */
  put(peer: string, connection: FrameConnection, number: number): void {
    const previous = this.byPeer.get(peer);
    this.byPeer.set(peer, { connection, number });
    previous?.connection.close();
  }

  /** Sends `message` to `peer` if it is connected. */
  send(peer: string, message: Message): void {
    this.byPeer.get(peer)?.connection.send(message);
  }

  /** Closes the connection to `peer` if it has this number; a newer one stays open. */
  close(peer: string, number: number): void {
    const current = this.byPeer.get(peer);
    if (current?.number === number) {
      current.connection.close();
    }
  }

  /** Removes a closed connection, unless a newer one has replaced it. */
  remove(peer: string, connection: FrameConnection): void {
    if (this.byPeer.get(peer)?.connection === connection) {
      this.byPeer.delete(peer);
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    for (const { connection } of [...this.byPeer.values()]) {
      connection.close();
    }
  }
}
