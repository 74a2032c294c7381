/**
 * Splits a server-sent event stream into complete events, so that no event is forwarded in part.
 */

const EVENT_END = '\n\n';
const ID_LINE = /^id: ?(.*)$/m;
const MAX_EVENT_BYTES = 1024 * 1024;

/** A complete event as received, including its terminating blank line. */
export interface CompleteEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no id. */
  readonly id: string | undefined;
}

/** Parses the body of one response. */
export class EventStreamParser {
  private pending: Buffer = Buffer.alloc(0);

  /** Whether the received bytes end inside an event. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Whether the current event exceeds the size limit. */
  get hasOversizedEvent(): boolean {
    return this.pending.length > MAX_EVENT_BYTES;
  }

  /** Appends received bytes and returns the events they complete. */
  push(bytes: Buffer): CompleteEvent[] {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const events: CompleteEvent[] = [];
    let end = this.pending.indexOf(EVENT_END);
    while (end >= 0) {
      const event = this.pending.subarray(0, end + EVENT_END.length);
      this.pending = this.pending.subarray(end + EVENT_END.length);
      events.push({ bytes: event, id: ID_LINE.exec(event.toString('latin1'))?.[1]?.trim() });
      end = this.pending.indexOf(EVENT_END);
    }
    return events;
  }
}
