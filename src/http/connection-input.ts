/**
 * Passes what a connection reads to the HTTP parser in turns, and no more requests than may be open on
 * it.
 *
 * The parser would turn everything that one read brings into requests, thousands of them if they are
 * short. What is not passed on yet stays bytes. The connection is read on meanwhile, since a caller
 * that disconnects is not noticed otherwise; one that sends more than a whole request ahead is
 * closed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MessageScanner } from './message-scanner.js';
import type { InputTurns } from './input-turns.js';
import { guardResume, isPausedByServer, takeInput } from './server-socket.js';

/**
 * Bytes of heads and of bodies in chunks that are parsed in one turn; other bodies cost no more than
 * their bytes.
 */
const TURN_BYTES = 8 * 1_024;

/** Bytes of a head with its request line and the blank lines before it. */
export const MAX_HEAD_BYTES = 128 * 1_024;
/** Bytes of the blank line that ends a head. */
const BLANK_LINE_BYTES = 2;

/** Memory of a piece of input beside its bytes, roughly. */
const PIECE_BYTES = 256;

/** Limits of one connection. */
export interface ConnectionInputLimits {
  /** Requests whose responses may be unfinished at the same time. */
  readonly maxOpenRequests: number;
  /** Bytes of the header lines of a request. */
  maxHeaderBytes(): number;
  /** Bytes that may wait while as many requests as allowed are open. */
  maxBytesAhead(): number;
}

/** What a connection reports. */
export interface ConnectionInputHandlers {
  /** So many bytes were read. */
  onReceived(bytes: number): void;
  /** So many bytes were read after `discard`. */
  onDiscarded(bytes: number): void;
  /** What waits takes so many more bytes of memory; fewer if negative. */
  onWaitingChange(bytes: number): void;
  /** A head is too long, whatever its lines are; nothing of it is parsed any more. */
  onHeadTooLong(): void;
  /** More bytes wait than `maxBytesAhead`. */
  onTooFarAhead(): void;
}

/** The input of one connection. */
export class ConnectionInput {
  private readonly parse: (bytes: Buffer) => void;
  private readonly scanner = new MessageScanner();
  /** Bytes that are not parsed yet. */
  private waiting: Buffer[] = [];
  private waitingLength = 0;
  /** Memory of the waiting bytes as last reported. */
  private reportedMemory = 0;
  /** The newest request; undefined before the first one. */
  private newest: IncomingMessage | undefined;
  /** Bytes of its body that are not parsed yet, if it has a Content-Length. */
  private unreadBodyBytes = 0;
  private openRequests = 0;
  private isDiscarding = false;
  private hasTurnQueued = false;
  private bytesLeftInTurn = 0;

  /** Must be created while the server accepts `socket`. */
  constructor(
    private readonly socket: Socket,
    private readonly turns: InputTurns,
    private readonly limits: ConnectionInputLimits,
    private readonly handlers: ConnectionInputHandlers,
  ) {
    this.parse = takeInput(socket, (bytes) => this.receive(bytes));
    guardResume(socket, () => this.handleResume());
  }

  /** Number of bytes that were read and are not parsed yet. */
  get waitingBytes(): number {
    return this.waitingLength;
  }

  /** Number of requests whose responses have not ended. */
  get openCount(): number {
    return this.openRequests;
  }

  /** Drops what was not parsed and all that is read from now on. */
  discard(): void {
    this.isDiscarding = true;
    this.waiting = [];
    this.waitingLength = 0;
    this.reportWaiting();
  }

  /** Counts a request that the parser has found. */
  beginRequest(request: IncomingMessage, response: ServerResponse): void {
    this.newest = request;
    this.unreadBodyBytes = Number(request.headers['content-length'] ?? 0);
    this.openRequests += 1;
    response.once('close', () => {
      this.openRequests -= 1;
      this.takeTurn();
    });
  }

  private get isHeadTooLong(): boolean {
    const { bytes, bytesAfterFirstLine } = this.scanner;
    const maxHeaderBytes = this.limits.maxHeaderBytes() + BLANK_LINE_BYTES;
    return bytes > MAX_HEAD_BYTES || bytesAfterFirstLine > maxHeaderBytes;
  }

  private get isBetweenRequests(): boolean {
    return this.newest?.complete ?? true;
  }

  /** Whether the next request has to wait until one that is open has ended. */
  private get isFull(): boolean {
    return this.isBetweenRequests && this.openRequests >= this.limits.maxOpenRequests;
  }

  /** Whether bytes wait that the parser may get now. */
  private get mayParse(): boolean {
    const isOpen = !this.socket.destroyed && !isPausedByServer(this.socket);
    return this.waitingLength > 0 && isOpen && !this.isFull;
  }

  private receive(bytes: Buffer): void {
    if (this.isDiscarding) {
      this.handlers.onDiscarded(bytes.length);
      return;
    }
    this.waiting.push(bytes);
    this.waitingLength += bytes.length;
    this.handlers.onReceived(bytes.length);
    if (this.hasTurnQueued) {
      this.reportWaiting();
    } else {
      this.takeTurn();
    }
  }

  private reportWaiting(): void {
    const memory = this.waitingLength + this.waiting.length * PIECE_BYTES;
    const change = memory - this.reportedMemory;
    if (change !== 0) {
      this.reportedMemory = memory;
      this.handlers.onWaitingChange(change);
    }
  }

  /** Parses the bytes of one turn; the rest waits for another one. */
  private takeTurn(): void {
    this.bytesLeftInTurn = TURN_BYTES;
    while (this.mayParse && this.bytesLeftInTurn > 0) {
      this.parseNext();
    }
    if (this.mayParse) {
      this.queueTurn();
    }
    this.reportWaiting();
    const isTooFarAhead = this.isFull && this.reportedMemory > this.limits.maxBytesAhead();
    if (isTooFarAhead && !this.socket.destroyed) {
      this.handlers.onTooFarAhead();
    }
  }

  private parseNext(): void {
    const bytes = this.waiting.shift()!;
    const end = this.endOfNext(this.unreadBodyBytes > 0 ? bytes : bytes.subarray(0, TURN_BYTES));
    if (this.isDiscarding) {
      return;
    }
    this.waitingLength -= end;
    if (end === bytes.length) {
      this.parse(bytes);
      return;
    }
    this.waiting.unshift(bytes.subarray(end));
    this.parse(bytes.subarray(0, end));
  }

  /** Returns how many of `bytes` the parser may get without finding a second request. */
  private endOfNext(bytes: Buffer): number {
    if (this.unreadBodyBytes > 0) {
      const end = Math.min(bytes.length, this.unreadBodyBytes);
      this.unreadBodyBytes -= end;
      return end;
    }
    const end = this.scanner.findEnd(bytes);
    if (this.isBetweenRequests && this.isHeadTooLong) {
      this.discard();
      this.handlers.onHeadTooLong();
      return 0;
    }
    if (end !== undefined) {
      this.scanner.reset();
    }
    this.bytesLeftInTurn -= end ?? bytes.length;
    return end ?? bytes.length;
  }

  /** Lets other connections be served before the rest is parsed; nothing more is read until then. */
  private queueTurn(): void {
    if (this.hasTurnQueued) {
      return;
    }
    this.hasTurnQueued = true;
    this.socket.pause();
    this.turns.add(() => {
      this.hasTurnQueued = false;
      this.takeTurn();
      this.socket.resume();
    });
  }

  /** Called when the server or a request is about to read on; returns whether to read. */
  private handleResume(): boolean {
    if (this.mayParse) {
      this.queueTurn();
    }
    return !this.hasTurnQueued && !isPausedByServer(this.socket);
  }
}
