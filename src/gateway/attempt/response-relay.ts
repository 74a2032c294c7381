/**
 * Forwards the responses of a request's attempts to its caller as a single response, without I/O.
 *
 * A response that is not a stream is buffered until it is complete or exceeds the buffer limit. Of
 * an event stream only complete events are forwarded, so that another attempt can resume after the
 * last one.
 */
import type { Clock } from '../../clock.js';
import type { HeaderValue } from '../../http/header-value.js';
import { endToEndHeaders } from '../admission/caller-protocol.js';
import type { ResponseHead, AttemptHandle, CallerReply } from './attempt.js';
import { isEventStreamStatus, isServerError } from './attempt-outcome.js';
import { EventStreamParser } from './event-stream-parser.js';
import type { EventStreamProblem } from './event-stream-parser.js';

const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024;
const FRAMING_HEADERS = new Set(['content-length']);
const NO_HEADERS = new Set<string>();

/** A complete buffered response. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** What determines how the response to a request is forwarded. */
export interface RelayedRequest {
  readonly method: string;
  readonly isStream: boolean;
  /** Id of the last event that the caller received before this request. */
  readonly lastEventId: HeaderValue | undefined;
  readonly clock: Pick<Clock, 'now'>;
}

/** Result of received bytes. */
export interface RelayResult {
  /** Whether bytes were forwarded to the caller. */
  readonly isForwarded: boolean;
  /** Why the rest of the response is unusable; undefined while it is usable. */
  readonly problem?: EventStreamProblem | undefined;
}

const HELD: RelayResult = { isForwarded: false };
const FORWARDED: RelayResult = { isForwarded: true };

/** Builds the caller's response from the responses of successive attempts. */
export class ResponseRelay {
  private responseHead: ResponseHead | undefined;
  /** The response head sent to the caller; undefined until the response has started. */
  private sentHead: ResponseHead | undefined;
  private bufferedChunks: Buffer[] = [];
  private bufferedBytes = 0;
  private parser: EventStreamParser;
  private lastId: HeaderValue | undefined;
  private lastCompletedEvents = 0;
  private hasBackpressure = false;

  constructor(
    private readonly reply: CallerReply,
    private readonly request: RelayedRequest,
    /** Called before the first event of a stream is sent to the caller. */
    private readonly beforeFirstEvent: () => void,
  ) {
    this.lastId = request.lastEventId;
    this.parser = new EventStreamParser(request.clock);
  }

  /** Whether a part of the response was sent to the caller. */
  get hasStarted(): boolean {
    return this.sentHead !== undefined;
  }

  /** Whether the caller takes no data for now, so that none is read from the backend. */
  get isPaused(): boolean {
    return this.hasBackpressure;
  }

  /** Id of the last event sent to the caller. */
  get lastEventId(): HeaderValue | undefined {
    return this.lastId;
  }

  /** Whether the backend of the current attempt states that it failed. */
  get isServerFailure(): boolean {
    return this.responseHead !== undefined && isServerError(this.responseHead.status);
  }

  /** Number of events completed by the most recent bytes. */
  get completedEvents(): number {
    return this.lastCompletedEvents;
  }

  /** Whether the bytes received from the current attempt end inside an event. */
  get isInsideEvent(): boolean {
    return this.isEventStream && this.parser.hasPartialEvent;
  }

  /** The current attempt's response as buffered so far; undefined if no head was accepted. */
  get bufferedResponse(): BufferedResponse | undefined {
    return this.responseHead === undefined
      ? undefined
      : { head: this.responseHead, body: Buffer.concat(this.bufferedChunks) };
  }

  private get isEventStream(): boolean {
    return (
      this.request.isStream &&
      this.responseHead !== undefined &&
      isEventStreamStatus(this.responseHead.status)
    );
  }

  /** Starts a new attempt and discards the unfinished data of the previous one. */
  beginAttempt(): void {
    this.responseHead = undefined;
    this.bufferedChunks = [];
    this.bufferedBytes = 0;
    this.parser = new EventStreamParser(this.request.clock);
  }

  /** Accepts a response head; returns false if it cannot continue the response already started. */
  acceptHead(head: ResponseHead): boolean {
    const isCompatible = this.canContinueWith(head);
    if (isCompatible) {
      this.responseHead = head;
    }
    return isCompatible;
  }

  /** Whether a response with this head can continue the response already started. */
  canContinueWith({ status, headers }: ResponseHead): boolean {
    const { sentHead } = this;
    return (
      sentHead === undefined ||
      (status === sentHead.status && headers['content-type'] === sentHead.headers['content-type'])
    );
  }

  /** Accepts body bytes; pauses `attempt` while the caller applies backpressure. */
  acceptData(bytes: Buffer, attempt: AttemptHandle | undefined): RelayResult {
    if (this.responseHead === undefined) {
      return HELD;
    }
    if (this.isEventStream) {
      return this.acceptStreamData(bytes, attempt);
    }
    if (this.hasStarted) {
      this.forward(bytes, attempt);
      return FORWARDED;
    }
    this.bufferedChunks.push(bytes);
    this.bufferedBytes += bytes.length;
    if (this.bufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES) {
      return HELD;
    }
    this.start();
    this.forward(Buffer.concat(this.bufferedChunks), attempt);
    this.bufferedChunks = [];
    return FORWARDED;
  }

  /** Completes the caller's response. */
  end({ head, body }: BufferedResponse): void {
    if (this.hasStarted) {
      this.reply.end();
      return;
    }
    this.reply.start(head.status, this.completeResponseHeaders(head, body));
    this.reply.end(body);
  }

  /**
   * Aborts the caller's response by closing its connection, so that it is not treated as complete.
   */
  abort(): void {
    this.reply.abort();
  }

  private acceptStreamData(bytes: Buffer, attempt: AttemptHandle | undefined): RelayResult {
    const events = this.parser.push(bytes);
    const { problem } = this.parser;
    this.lastCompletedEvents = events.length;
    if (events.length === 0) {
      return { isForwarded: false, problem };
    }
    if (!this.hasStarted) {
      this.beforeFirstEvent();
    }
    this.start();
    for (const { id } of events) {
      this.lastId = id ?? this.lastId;
    }
    this.forward(Buffer.concat(events.map((event) => event.bytes)), attempt);
    return { isForwarded: true, problem };
  }

  private start(): void {
    if (this.hasStarted) {
      return;
    }
    this.sentHead = this.responseHead!;
    const droppedHeaders = this.request.isStream ? FRAMING_HEADERS : NO_HEADERS;
    this.reply.start(
      this.sentHead.status,
      endToEndHeaders(this.sentHead.rawHeaders, droppedHeaders),
    );
  }

  private forward(bytes: Buffer, attempt: AttemptHandle | undefined): void {
    if (this.reply.write(bytes)) {
      return;
    }
    this.hasBackpressure = true;
    attempt?.pause();
    this.reply.onceDrained(() => {
      this.hasBackpressure = false;
      attempt?.resume();
    });
  }

  private completeResponseHeaders(head: ResponseHead, body: Buffer): string[] {
    const headers = endToEndHeaders(head.rawHeaders, FRAMING_HEADERS);
    const isHead = this.request.method === 'HEAD';
    const length = isHead ? head.headers['content-length'] : `${body.length}`;
    return typeof length === 'string' ? [...headers, 'Content-Length', length] : headers;
  }
}
