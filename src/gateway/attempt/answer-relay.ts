/**
 * Passes the answers of a request's attempts on to its caller as one answer, without I/O.
 *
 * A plain answer is held back until it is whole, or too long to hold. Of a stream
 * only whole events are passed on, so that another attempt can continue it after
 * the last one.
 */
import { endToEndHeaders } from '../admission/caller-protocol.js';
import type { AnswerHead, AttemptHandle, CallerReply } from './attempt.js';
import { EventSplitter } from './event-stream.js';

const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;
const HTTP_ERROR = 400;
const FRAMING_HEADERS = new Set(['content-length']);
const NO_HEADERS = new Set<string>();

/** A whole answer that was held back. */
export interface HeldAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** What a relay must know of its request. */
export interface RelayedRequest {
  readonly method: string;
  readonly isStream: boolean;
  /** Id of the last event that the caller has from before. */
  readonly lastEventId: string | undefined;
}

/** What became of received bytes. */
export type RelayResult = 'held' | 'passed-on' | 'overlong-event';

/** The caller's answer. */
export class AnswerRelay {
  private head: AnswerHead | undefined;
  /** The head that the caller was sent; undefined until its answer has begun. */
  private sentHead: AnswerHead | undefined;
  private held: Buffer[] = [];
  private heldBytes = 0;
  private splitter = new EventSplitter();
  private lastId: string | undefined;
  private events = 0;

  constructor(
    private readonly reply: CallerReply,
    private readonly request: RelayedRequest,
  ) {
    this.lastId = request.lastEventId;
  }

  /** Whether the caller has a part of its answer. */
  get hasStarted(): boolean {
    return this.sentHead !== undefined;
  }

  /** Id of the last event that the caller has. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Whole events that the last bytes completed. */
  get completedEvents(): number {
    return this.events;
  }

  /** Whether the current attempt's answer ends inside an event so far. */
  get isInsideEvent(): boolean {
    return this.isEventStream && this.splitter.hasPartialEvent;
  }

  /** The whole answer of the current attempt, if its head was taken. */
  get heldAnswer(): HeldAnswer | undefined {
    return this.head === undefined
      ? undefined
      : { head: this.head, body: Buffer.concat(this.held) };
  }

  private get isEventStream(): boolean {
    return this.request.isStream && this.head !== undefined && this.head.status < HTTP_ERROR;
  }

  /** A new attempt begins; what the last one left unfinished is dropped. */
  beginAttempt(): void {
    this.head = undefined;
    this.held = [];
    this.heldBytes = 0;
    this.splitter = new EventSplitter();
  }

  /** Takes the head of an answer; false if it cannot continue the answer that has begun. */
  takeHead(head: AnswerHead): boolean {
    const { sentHead } = this;
    const isFitting =
      sentHead === undefined ||
      (head.status === sentHead.status &&
        head.headers['content-type'] === sentHead.headers['content-type']);
    if (isFitting) {
      this.head = head;
    }
    return isFitting;
  }

  /** Takes bytes of the body; `attempt` is paused while the caller reads too slowly. */
  takeData(bytes: Buffer, attempt: AttemptHandle | undefined): RelayResult {
    if (this.head === undefined) {
      return 'held';
    }
    if (this.isEventStream) {
      return this.takeStreamData(bytes, attempt);
    }
    if (this.hasStarted) {
      this.forward(bytes, attempt);
      return 'passed-on';
    }
    this.held.push(bytes);
    this.heldBytes += bytes.length;
    if (this.heldBytes <= MAX_BUFFERED_ANSWER_BYTES) {
      return 'held';
    }
    this.start();
    this.forward(Buffer.concat(this.held), attempt);
    this.held = [];
    return 'passed-on';
  }

  /** Ends the caller's answer as whole. */
  end({ head, body }: HeldAnswer): void {
    if (this.hasStarted) {
      this.reply.end();
      return;
    }
    this.reply.start(head.status, this.wholeAnswerHeaders(head, body));
    this.reply.end(body);
  }

  /** Breaks the caller's answer off visibly. */
  abort(): void {
    this.reply.abort();
  }

  private takeStreamData(bytes: Buffer, attempt: AttemptHandle | undefined): RelayResult {
    const events = this.splitter.push(bytes);
    this.events = events.length;
    if (this.splitter.isOverlong) {
      return 'overlong-event';
    }
    if (events.length === 0) {
      return 'held';
    }
    this.start();
    for (const { id } of events) {
      this.lastId = id ?? this.lastId;
    }
    this.forward(Buffer.concat(events.map((event) => event.bytes)), attempt);
    return 'passed-on';
  }

  private start(): void {
    if (this.hasStarted) {
      return;
    }
    this.sentHead = this.head!;
    const dropped = this.request.isStream ? FRAMING_HEADERS : NO_HEADERS;
    this.reply.start(this.sentHead.status, endToEndHeaders(this.sentHead.rawHeaders, dropped));
  }

  private forward(bytes: Buffer, attempt: AttemptHandle | undefined): void {
    if (this.reply.write(bytes)) {
      return;
    }
    attempt?.pause();
    this.reply.onceDrained(() => attempt?.resume());
  }

  private wholeAnswerHeaders(head: AnswerHead, body: Buffer): string[] {
    const kept = endToEndHeaders(head.rawHeaders, FRAMING_HEADERS);
    const isHead = this.request.method === 'HEAD';
    const length = isHead ? head.headers['content-length'] : `${body.length}`;
    return typeof length === 'string' ? [...kept, 'Content-Length', length] : kept;
  }
}
