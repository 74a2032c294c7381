/**
 * Learns the deadlines of first attempts per route, in order to recognize retries by callers.
 *
 * A caller that retries has less time left than at its first attempt. Some callers always send the
 * same deadline, others vary it, so the range of first attempts is learned from the deadlines of
 * the route's most recent requests. Most of these are first attempts, whose deadlines are assumed
 * to be uniformly distributed: their lowest value is then as far below the median as the longest is
 * above it. Retries are fewer and shift the median little.
 */

/** Deadlines stored per route: about ten seconds of a busy gateway. */
const SAMPLES_PER_ROUTE = 64;
/** Deadlines between two updates of the range, which changes slowly. */
const SAMPLES_BETWEEN_UPDATES = 8;
/** Lowest deadline of a first attempt, as a share of the longest, until a range is learned. */
const INITIAL_LOWEST_SHARE = 0.8;
/** Share of the longest deadline that may elapse in transit of a first attempt. */
const TOLERANCE_SHARE = 0.02;

/** Range of the deadlines of first attempts of one route, in milliseconds. */
interface DeadlineRange {
  readonly lowestMs: number;
  readonly longestMs: number;
}

/** Deadlines of the most recent requests of one route. */
class RecentDeadlines {
  private readonly samples: number[] = [];
  private count = 0;
  private learnedRange: DeadlineRange | undefined;

  /** Adds a deadline; returns the current range of first attempts. */
  add(deadlineMs: number): DeadlineRange {
    this.samples[this.count % SAMPLES_PER_ROUTE] = deadlineMs;
    this.count += 1;
    if (this.count % SAMPLES_BETWEEN_UPDATES === 0) {
      this.learnedRange = deadlineRangeOf(this.samples);
    }
    const longestMs = Math.max(this.learnedRange?.longestMs ?? 0, ...this.samples);
    return this.learnedRange ?? { lowestMs: longestMs * INITIAL_LOWEST_SHARE, longestMs };
  }
}

/** Deadlines of first attempts, by route. */
export class FirstAttemptDeadlines {
  private readonly routes = new Map<string, RecentDeadlines>();

  /**
   * Adds the deadline of a request and estimates how long ago the caller made its first attempt.
   *
   * @returns the time since the first attempt, in milliseconds; 0 for a first attempt
   */
  timeSinceFirstAttemptMs(route: string, deadlineMs: number): number {
    const recent = this.routes.get(route) ?? new RecentDeadlines();
    this.routes.set(route, recent);
    const { lowestMs, longestMs } = recent.add(deadlineMs);
    if (deadlineMs >= lowestMs - longestMs * TOLERANCE_SHARE) {
      return 0;
    }
    return (lowestMs + longestMs) / 2 - deadlineMs;
  }
}

function deadlineRangeOf(samples: readonly number[]): DeadlineRange {
  const sorted = [...samples].sort((left, right) => left - right);
  const longestMs = sorted.at(-1)!;
  const medianMs = sorted[Math.floor(sorted.length / 2)]!;
  return { lowestMs: 2 * medianMs - longestMs, longestMs };
}
