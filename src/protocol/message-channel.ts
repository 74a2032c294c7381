/**
 * Typed messages over a TCP connection. Messages queued in one turn of the event loop are sent as one
 * frame in one write.
 */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { CborFrameDecoder, CborFrameEncoder } from './cbor-frames.js';
import { MalformedFrameError } from './errors.js';

/** A message of a discriminated union, with `kind` as the discriminator. */
export interface DiscriminatedMessage {
  readonly kind: string;
}

/** The subset of `net.Socket` that a channel uses. */
export interface MessageSocket {
  /** Buffered bytes that have not been sent. */
  readonly writableLength: number;
  setNoDelay(noDelay: boolean): unknown;
  write(bytes: Buffer): boolean;
  destroy(): unknown;
  on(event: 'data', listener: (bytes: Buffer) => void): unknown;
  on(event: 'end' | 'close', listener: () => void): unknown;
  on(event: 'error', listener: (error: Error) => void): unknown;
}

/** Callbacks for the events of a channel. */
export interface MessageChannelHandlers<Incoming> {
  /** Called for each received message, in order. */
  onMessage(message: Incoming): void;
  /** Called once, when the channel is closed. */
  onClose(): void;
}

/** Maximum unsent bytes to a peer that does not read; beyond it the channel is closed. */
const MAX_BACKLOG_BYTES = 8 * 1024 * 1024;

/** A typed message channel over a TCP connection. */
export class MessageChannel<
  Outgoing extends DiscriminatedMessage,
  Incoming extends DiscriminatedMessage,
> {
  private readonly encoder = new CborFrameEncoder<Outgoing[]>();
  private readonly decoder = new CborFrameDecoder<Incoming[]>(validateMessages);
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

  /** Queues `message` for the next flush; ignored after the channel is closed. */
  send(message: Outgoing): void {
    if (this.isClosed) {
      return;
    }
    if (this.outbox.length === 0) {
      setImmediate(() => this.flush());
    }
    this.outbox.push(message);
  }

  /** Closes the channel; messages that were not flushed are lost. */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.socket.destroy();
    this.handlers.onClose();
  }

  /** Sends all queued messages in one frame. */
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

function validateMessages<Incoming extends DiscriminatedMessage>(
  value: unknown,
): Result<Incoming[], MalformedFrameError> {
  const isValid =
    Array.isArray(value) &&
    value.every((message) => typeof (message as DiscriminatedMessage | null)?.kind === 'string');
  return isValid ? ok(value as Incoming[]) : err(new MalformedFrameError('not a list of messages'));
}
