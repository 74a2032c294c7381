/**
 * Learns which deadlines the first tries of a route carry, by which requests that come back are told.
 *
 * A caller that comes back has less time left than at its first try. Some callers always name the same
 * deadline, others a little more or less each time; so what counts as less is learned from the deadlines
 * of the route's latest requests. Most of those are first tries, of which each deadline between the
 * lowest and the longest is taken to be equally likely: then their lowest lies as far below the median
 * as the longest lies above it. Returning requests, being fewer, move the median little.
 */

/** Deadlines that are remembered of each route: some ten seconds of a busy gateway. */
const SAMPLES = 64;
/** Deadlines after which the range is reckoned anew; it moves slowly. */
const SAMPLES_BETWEEN_UPDATES = 8;
/** Share of the longest deadline down to which a request is a first try while little was learned. */
const UNKNOWN_LOWEST_SHARE = 0.8;
/** Share of the longest deadline that is lost on the way of a first try. */
const TOLERANCE_SHARE = 0.02;

/** Deadlines of first tries of one route, in milliseconds. */
interface DeadlineRange {
  readonly lowestMs: number;
  readonly longestMs: number;
}

/** The deadlines that the latest requests of one route named. */
class RecentDeadlines {
  private readonly samples: number[] = [];
  private count = 0;
  private known: DeadlineRange | undefined;

  /** Takes in a deadline; returns those of first tries as they were learned so far. */
  add(deadlineMs: number): DeadlineRange {
    this.samples[this.count % SAMPLES] = deadlineMs;
    this.count += 1;
    if (this.count % SAMPLES_BETWEEN_UPDATES === 0) {
      this.known = rangeOf(this.samples);
    }
    const longestMs = Math.max(this.known?.longestMs ?? 0, ...this.samples);
    return this.known ?? { lowestMs: longestMs * UNKNOWN_LOWEST_SHARE, longestMs };
  }
}

/** Which deadlines first tries carry, by route. */
export class UsualDeadlines {
  private readonly routes = new Map<string, RecentDeadlines>();

  /**
   * Takes in the deadline of a request.
   *
   * @returns how long ago its caller first tried, in milliseconds; 0 for a first try
   */
  triedForMs(route: string, deadlineMs: number): number {
    const recent = this.routes.get(route) ?? new RecentDeadlines();
    this.routes.set(route, recent);
    const { lowestMs, longestMs } = recent.add(deadlineMs);
    if (deadlineMs >= lowestMs - longestMs * TOLERANCE_SHARE) {
      return 0;
    }
    return (lowestMs + longestMs) / 2 - deadlineMs;
  }
}

function rangeOf(samples: readonly number[]): DeadlineRange {
  const sorted = [...samples].sort((left, right) => left - right);
  const longestMs = sorted.at(-1)!;
  const medianMs = sorted[Math.floor(sorted.length / 2)]!;
  return { lowestMs: 2 * medianMs - longestMs, longestMs };
}
