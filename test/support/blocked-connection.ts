import { Duplex } from 'node:stream';

/** A connection whose peer takes no bytes until `unblock`; for `server.emit('connection', ...)`. */
export class BlockedConnection extends Duplex {
  /** Bytes that the peer has received, as text. */
  received = '';
  /** Number of bytes that the peer has sent. */
  bytesRead = 0;
  private blockedWrite: (() => void) | undefined;
  private isBlocked = true;

  constructor() {
    super({ allowHalfOpen: true });
  }

  override _read(): void {
    // Bytes come from `send`.
  }

  override _write(bytes: Buffer, _encoding: string, onWritten: () => void): void {
    const deliver = () => {
      this.received += bytes.toString('latin1');
      onWritten();
    };
    if (this.isBlocked) {
      this.blockedWrite = deliver;
    } else {
      deliver();
    }
  }

  /** Delivers `text` from the peer. */
  send(text: string): void {
    this.bytesRead += text.length;
    this.push(text);
  }

  /** Takes all bytes from now on. */
  unblock(): void {
    this.isBlocked = false;
    this.blockedWrite?.();
    this.blockedWrite = undefined;
  }

  /** Used by the HTTP server on sockets. */
  setTimeout(): this {
    return this;
  }

  /** Used by the HTTP server on sockets. */
  destroySoon(): void {
    this.end(() => this.destroy());
  }
}
