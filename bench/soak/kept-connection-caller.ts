/** Caller that sends requests one after the other on a connection that it keeps. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** One request that was sent whole; times in milliseconds. */
export interface CallerExchange {
  readonly sentAtMs: number;
  /** Whether its connection had served a request before. */
  readonly wasKept: boolean;
  /** Time of the complete response, or of the close; undefined while neither has happened. */
  endedAtMs: number | undefined;
  /** Undefined without a complete response. */
  status: number | undefined;
  /** Time until which this process would have noticed a close at once. */
  openUntilMs: number | undefined;
  /** Whether the gateway had closed the connection before the request was sent. */
  isSentAfterClose: boolean;
}

/** Times that a caller uses, in milliseconds. */
export interface CallerTimes {
  /** Returns the rest before the next request. */
  nextIdleMs(): number;
  /** Returns the start of the last period in which this process did not poll. */
  beforeLastPollMs(): number;
}

const BODY = 'x'.repeat(100);
const STATUS_POSITION = { start: 9, end: 12 };
const HEAD_END = '\r\n\r\n';
/** Pause before a new connection after one that closed. */
const RECONNECT_MS = 20;

/** Sends the next request on its connection after a rest, on a new one if it has closed. */
export class KeptConnectionCaller {
  readonly exchanges: CallerExchange[] = [];
  /** Number of connections that closed before their next request was sent. */
  closedIdle = 0;
  private socket: Socket | undefined;
  private isKept = false;
  private received = '';
  private current: CallerExchange | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isSending = true;

  constructor(
    private readonly name: string,
    private readonly address: { readonly host: string; readonly port: number },
    private readonly times: CallerTimes,
  ) {}

  /** Opens a connection and sends the first request. */
  start(): void {
    const socket = connect({ ...this.address, noDelay: true, allowHalfOpen: true });
    this.socket = socket;
    this.isKept = false;
    socket.on('error', () => undefined);
    socket.once('connect', () => this.send());
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.on('end', () => this.handleEnd(socket));
    socket.on('close', () => this.handleClose(socket));
  }

  /** Sends no further requests; responses are still read. */
  sendNoMore(): void {
    this.isSending = false;
    clearTimeout(this.timer);
  }

  /** Closes the connection. */
  stop(): void {
    this.sendNoMore();
    this.socket?.destroy();
  }

  private send(): void {
    if (!this.isSending) {
      return;
    }
    const id = `${this.name}-${this.exchanges.length}`;
    this.received = '';
    this.current = {
      sentAtMs: performance.now(),
      wasKept: this.isKept,
      endedAtMs: undefined,
      status: undefined,
      openUntilMs: undefined,
      isSentAfterClose: false,
    };
    this.exchanges.push(this.current);
    this.socket?.write(
      `POST /task/${id} HTTP/1.1\r\nHost: kept.example\r\nX-Weirvale-Attempt-Id: ${id}\r\n` +
        `Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
    );
  }

  private receive(bytes: Buffer): void {
    this.received += bytes.toString('latin1');
    if (this.current === undefined || !isComplete(this.received)) {
      return;
    }
    const { start, end } = STATUS_POSITION;
    this.current.status = Number(this.received.slice(start, end));
    this.current.endedAtMs = performance.now();
    this.current = undefined;
    this.isKept = true;
    this.sendAfter(this.times.nextIdleMs(), () => this.send());
  }

  /**
   * Finds out whether the request was sent after the gateway had closed the connection: its system
   * has then answered the request with a reset, so that a further write fails.
   */
  private handleEnd(socket: Socket): void {
    const { current } = this;
    if (current === undefined) {
      this.handleClose(socket);
      return;
    }
    this.recordClose(current);
    socket.write('\r\n', (error) => {
      current.isSentAfterClose = (error as NodeJS.ErrnoException | null)?.code === 'EPIPE';
      this.handleClose(socket);
    });
  }

  private handleClose(socket: Socket): void {
    if (socket !== this.socket) {
      return;
    }
    this.socket = undefined;
    socket.destroy();
    clearTimeout(this.timer);
    if (this.current === undefined) {
      this.closedIdle += this.isKept ? 1 : 0;
    } else {
      this.recordClose(this.current);
      this.current = undefined;
    }
    this.sendAfter(RECONNECT_MS, () => this.start());
  }

  private recordClose(exchange: CallerExchange): void {
    exchange.endedAtMs ??= performance.now();
    exchange.openUntilMs ??= this.times.beforeLastPollMs();
  }

  private sendAfter(delayMs: number, send: () => void): void {
    if (this.isSending) {
      this.timer = setTimeout(send, delayMs);
    }
  }
}

/** Whether a response with a `Content-Length` has been received whole. */
function isComplete(received: string): boolean {
  const headEnd = received.indexOf(HEAD_END);
  if (headEnd < 0) {
    return false;
  }
  const length = /content-length: *(\d+)/i.exec(received.slice(0, headEnd))?.[1];
  return received.length >= headEnd + HEAD_END.length + Number(length ?? 0);
}
