/**
 * Splits a server-sent event stream into complete events, so that no event is forwarded in part, and
 * validates their ids.
 */
import type { Clock } from '../../clock.js';
import { parseHeaderValue } from '../../http/header-value.js';
import type { HeaderValue } from '../../http/header-value.js';
import { ResponsePieceLimiter } from '../../http/response-piece-limiter.js';

const EVENT_END = '\n\n';
const ID_LINE = /^id:(.*)$/m;
const MAX_EVENT_BYTES = 1024 * 1024;
const MAX_EVENT_ID_LENGTH = 256;

/** A complete event as received, including its terminating blank line. */
export interface CompleteEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no id. */
  readonly id: HeaderValue | undefined;
}

/** Why no event can be read from the rest of a stream. */
export type EventStreamProblem =
  | 'event exceeds the size limit'
  /** The id could not be sent as the position from which another backend continues. */
  | 'event has an invalid id'
  | 'too many small events';

/** Parses the body of one response. */
export class EventStreamParser {
  private pending: Buffer = Buffer.alloc(0);
  private hasInvalidId = false;
  private hasTooManyEvents = false;
  private readonly pieces: ResponsePieceLimiter;

  constructor(clock: Pick<Clock, 'now'>) {
    this.pieces = new ResponsePieceLimiter(() => clock.now());
  }

  /** Whether the received bytes end inside an event. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Why no further event is returned; undefined while the stream is valid. */
  get problem(): EventStreamProblem | undefined {
    if (this.hasInvalidId) {
      return 'event has an invalid id';
    }
    if (this.hasTooManyEvents) {
      return 'too many small events';
    }
    return this.pending.length > MAX_EVENT_BYTES ? 'event exceeds the size limit' : undefined;
  }

  /** Appends received bytes and returns the events they complete, up to the first invalid one. */
  push(bytes: Buffer): CompleteEvent[] {
    if (this.hasInvalidId || this.hasTooManyEvents) {
      return [];
    }
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const events: CompleteEvent[] = [];
    let end = this.pending.indexOf(EVENT_END);
    while (end >= 0) {
      const event = this.pending.subarray(0, end + EVENT_END.length);
      const idText = ID_LINE.exec(event.toString('latin1'))?.[1]?.trim();
      const id = idText === undefined ? undefined : parseEventId(idText);
      if (idText !== undefined && id === undefined) {
        this.hasInvalidId = true;
        return events;
      }
      if (this.pieces.countPiece(event.length) !== undefined) {
        this.hasTooManyEvents = true;
        return events;
      }
      this.pending = this.pending.subarray(end + EVENT_END.length);
      events.push({ bytes: event, id });
      end = this.pending.indexOf(EVENT_END);
    }
    return events;
  }
}

/** Returns the id if a request can name it as the last event that was received. */
function parseEventId(text: string): HeaderValue | undefined {
  const isOfValidLength = text.length > 0 && text.length <= MAX_EVENT_ID_LENGTH;
  return isOfValidLength ? parseHeaderValue(text) : undefined;
}
