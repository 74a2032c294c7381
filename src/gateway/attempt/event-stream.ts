/** Splits a stream of server-sent events into whole events, so that none is passed on in part. */

const EVENT_END = '\n\n';
const ID_LINE = /^id: ?(.*)$/m;
const MAX_EVENT_BYTES = 1024 * 1024;

/** One whole event as it was received, its closing blank line included. */
export interface WholeEvent {
  readonly bytes: Buffer;
  /** Undefined for an event without an id. */
  readonly id: string | undefined;
}

/** Splits the bytes of one answer. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Whether the bytes so far end inside an event. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Whether an event is longer than any that is accepted. */
  get isOverlong(): boolean {
    return this.pending.length > MAX_EVENT_BYTES;
  }

  /** Takes received bytes and returns the events that they complete. */
  push(bytes: Buffer): WholeEvent[] {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const events: WholeEvent[] = [];
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
