/** One TCP connection between processes: frames in, messages out, one write for each turn of the loop. */
import type { Socket } from 'node:net';
import type { ProtocolError } from '../protocol/errors.js';
import { FrameDecoder, FrameEncoder } from '../protocol/framing.js';
import type { Frame, Message } from '../protocol/messages.js';

/** Who hears of a connection. */
export interface FrameConnectionHandlers {
  /** A frame arrived, in order. */
  onFrame(frame: Frame): void;
  /** The connection is over; called once. `error` is set when it ended by a breach of the protocol. */
  onClose(error: ProtocolError | undefined): void;
}

/** Longest backlog of a peer that does not read, in bytes; beyond it the connection is ended. */
const MAX_BACKLOG_BYTES = 64 * 1024 * 1024;

/** One TCP connection between processes. */
export class FrameConnection {
  private readonly encoder = new FrameEncoder();
  private readonly decoder: FrameDecoder;
  private outbox: Message[] = [];
  private isFlushScheduled = false;
  private isClosed = false;

  constructor(
    private readonly socket: Socket,
    private readonly handlers: FrameConnectionHandlers,
    private readonly generation: () => number,
    maxFrameBytes: number,
  ) {
    this.decoder = new FrameDecoder(maxFrameBytes);
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.on('end', () => this.endOfInput());
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  /** Queues `message`; everything queued in one turn of the loop goes out in one frame. */
  send(message: Message): void {
    this.outbox.push(message);
    if (!this.isFlushScheduled) {
      this.isFlushScheduled = true;
      setImmediate(() => this.flush());
    }
  }

  /** Ends the connection. */
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
    this.socket.write(this.encoder.encode({ generation: this.generation(), messages }));
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

  private endOfInput(): void {
    const end = this.decoder.end();
    this.close(end.ok ? undefined : end.val);
  }
}

/** The open connections of a process, one for each peer. */
export class ConnectionTable {
  private readonly byPeer = new Map<string, { connection: FrameConnection; number: number }>();

  /** Makes `connection` the one for `peer`, and ends an earlier one. */
  put(peer: string, connection: FrameConnection, number: number): void {
    const earlier = this.byPeer.get(peer);
    this.byPeer.set(peer, { connection, number });
    earlier?.connection.close();
  }

  /** Sends `message` to `peer` if it is connected. */
  send(peer: string, message: Message): void {
    this.byPeer.get(peer)?.connection.send(message);
  }

  /** Ends the connection of `peer` with this number; a later one stays. */
  close(peer: string, number: number): void {
    const open = this.byPeer.get(peer);
    if (open?.number === number) {
      open.connection.close();
    }
  }

  /** Forgets a connection that is over. */
  remove(peer: string, connection: FrameConnection): void {
    if (this.byPeer.get(peer)?.connection === connection) {
      this.byPeer.delete(peer);
    }
  }

  /** Ends every connection. */
  closeAll(): void {
    for (const { connection } of [...this.byPeer.values()]) {
      connection.close();
    }
  }
}
