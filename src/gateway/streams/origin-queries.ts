/** Queries other processes for the origin of a stream, without I/O. */
import type { Clock, TimerHandle } from '../../clock.js';
import type { StreamKey } from '../../streams/stream-key.js';
import type {
  SoleVersion,
  StreamOriginAnswer,
  StreamOriginQuery,
  StreamOriginReport,
} from '../../streams/stream-origin.js';

/** Sends a query to one process; returns false if it is not connected. */
export type SendQuery = (query: StreamOriginQuery) => boolean;

/** What the queried processes answered. */
export interface QueryResult {
  /** The origin, from the first process that held it; undefined if none did. */
  readonly origin: StreamOriginReport | undefined;
  /** Version histories of the service, of those that answered. */
  readonly soleVersions: readonly SoleVersion[];
  /** Number of processes that answered, and that were asked. */
  readonly answered: number;
  readonly asked: number;
}

/** What is asked. */
export interface OriginQuestion {
  readonly key: StreamKey | undefined;
  readonly service: string | undefined;
}

interface PendingQuery {
  answered: number;
  asked: number;
  readonly soleVersions: SoleVersion[];
  readonly timer: TimerHandle;
  readonly onResult: (result: QueryResult) => void;
}

/**
 * Time after which processes that have not answered are not waited for, in milliseconds: several
 * round trips between regions, and short compared to what a caller waits for.
 */
const ANSWER_TIMEOUT_MS = 150;

/** The queries of this gateway that are not answered yet. */
export class OriginQueries {
  private readonly pending = new Map<number, PendingQuery>();
  private lastId = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of queries in progress. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Asks several processes at once. `onResult` is called once: with the first origin, or when all
   * have answered or the timeout has passed; synchronously if none is connected.
   */
  ask(
    question: OriginQuestion,
    targets: readonly SendQuery[],
    onResult: (result: QueryResult) => void,
  ): void {
    this.lastId += 1;
    const id = this.lastId;
    const timer = this.clock.setTimeout(() => this.finish(id, undefined), ANSWER_TIMEOUT_MS);
    const asked = targets.length;
    const query: PendingQuery = { answered: 0, asked, soleVersions: [], timer, onResult };
    this.pending.set(id, query);
    const message: StreamOriginQuery = { kind: 'stream-ask', id, ...question };
    query.asked = targets.filter((send) => send(message)).length;
    if (query.answered >= query.asked) {
      this.finish(id, undefined);
    }
  }

  /** Processes the answer of one process. */
  receive({ id, origin, soleVersion }: StreamOriginAnswer): void {
    const query = this.pending.get(id);
    if (query === undefined) {
      return;
    }
    query.answered += 1;
    if (soleVersion !== undefined) {
      query.soleVersions.push(soleVersion);
    }
    if (origin !== undefined || query.answered >= query.asked) {
      this.finish(id, origin);
    }
  }

  private finish(id: number, origin: StreamOriginReport | undefined): void {
    const query = this.pending.get(id);
    if (query === undefined) {
      return;
    }
    this.pending.delete(id);
    this.clock.clearTimeout(query.timer);
    const { answered, asked, soleVersions, onResult } = query;
    onResult({ origin, soleVersions, answered, asked });
  }
}
