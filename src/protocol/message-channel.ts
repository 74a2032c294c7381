/** Typed messages over one TCP connection; all that is sent in one turn of the loop goes out in one write. */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { CborFrameDecoder, CborFrameEncoder } from './cbor-frames.js';
import { MalformedFrameError } from './errors.js';

/** Anything with a kind, by which the receiver tells messages apart. */
export interface KindedMessage {
  readonly kind: string;
}

/** The part of a TCP connection that a channel uses. */
export interface MessageSocket {
  /** Bytes that wait to be sent. */
  readonly writableLength: number;
  setNoDelay(noDelay: boolean): unknown;
  write(bytes: Buffer): boolean;
  destroy(): unknown;
  on(event: 'data', listener: (bytes: Buffer) => void): unknown;
  on(event: 'end' | 'close', listener: () => void): unknown;
  on(event: 'error', listener: (error: Error) => void): unknown;
}

/** Who hears of a channel. */
export interface MessageChannelHandlers<Incoming> {
  /** A message arrived, in order. */
  onMessage(message: Incoming): void;
  /** The channel is over; called once. */
  onClose(): void;
}

/** Longest backlog of a peer that does not read, in bytes; beyond it the channel is ended. */
const MAX_BACKLOG_BYTES = 8 * 1024 * 1024;

/** Typed messages over one TCP connection. */
export class MessageChannel<Outgoing extends KindedMessage, Incoming extends KindedMessage> {
  private readonly encoder = new CborFrameEncoder<Outgoing[]>();
  private readonly decoder = new CborFrameDecoder<Incoming[]>(checkMessages);
  private outbox: Outgoing[] = [];
  private isClosed = false;

  constructor(
    private readonly socket: MessageSocket,
    private readonly handlers: MessageChannelHandlers<Incoming>,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.on('end', () => this.close());
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  /** Queues `message`. */
  send(message: Outgoing): void {
    if (this.isClosed) {
      return;
    }
    if (this.outbox.length === 0) {
      setImmediate(() => this.flush());
    }
    this.outbox.push(message);
  }

  /** Ends the channel; what was not flushed is lost. */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.socket.destroy();
    this.handlers.onClose();
  }

  /** Sends what is queued. */
  flush(): void {
    const messages = this.outbox;
    this.outbox = [];
    if (this.isClosed || messages.length === 0) {
      return;
    }
    this.socket.write(this.encoder.encode(messages));
    if (this.socket.writableLength > MAX_BACKLOG_BYTES) {
      this.close();
    }
  }

  private receive(bytes: Buffer): void {
    const frames = this.decoder.push(bytes);
    if (!frames.ok) {
      this.close();
      return;
    }
    for (const message of frames.val.flat()) {
      if (!this.isClosed) {
        this.handlers.onMessage(message);
      }
    }
  }
}

function checkMessages<Incoming extends KindedMessage>(
  value: unknown,
): Result<Incoming[], MalformedFrameError> {
  const isValid =
    Array.isArray(value) &&
    value.every((message) => typeof (message as KindedMessage | null)?.kind === 'string');
  return isValid ? ok(value as Incoming[]) : err(new MalformedFrameError('not a list of messages'));
}
