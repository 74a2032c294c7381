/**
 * Lets single requests with a refused prompt part through, to find out whether it still crashes
 * backends: the part may have been refused by mistake, or the backends may have been mended.
 * Performs no I/O.
 */
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { Fingerprint } from './crash-tally.js';

/** Times between two probes of a part. */
export interface PartProbeOptions {
  /**
   * Time from the first refusal at a gateway to its first probe, in milliseconds. Default 60,000: a
   * harmless part is refused for no longer, and a crashing one ends one more backend.
   */
  readonly firstProbeMs: number;
  /** Factor by which the time grows after each probe. Default 3. */
  readonly backoffFactor: number;
  /** Maximum time between two probes, in milliseconds. Default 600,000. */
  readonly maxIntervalMs: number;
}

/** Default times between probes. */
export const DEFAULT_PART_PROBE_OPTIONS: PartProbeOptions = {
  firstProbeMs: 60_000,
  backoffFactor: 3,
  maxIntervalMs: 600_000,
};

/** What identifies a request at each stage of its life in a gateway. */
type ProbingRequest = Pick<AcceptedRequest, 'body'>;

interface ProbeSchedule {
  dueAtMs: number;
  intervalMs: number;
}

/** Schedules the probes of refused prompt parts. */
export class PartProbes {
  private readonly schedules = new Map<Fingerprint, ProbeSchedule>();
  /** Bodies of the requests that run as probes. */
  private readonly probingBodies = new WeakSet<Buffer>();

  /**
   * `isProber` tells whether this gateway probes the part; all others leave that to it, so that one
   * run is let through over all gateways.
   */
  constructor(
    private readonly isProber: (fingerprint: Fingerprint) => boolean,
    private readonly options: PartProbeOptions = DEFAULT_PART_PROBE_OPTIONS,
  ) {}

  /** Whether a request was let through. */
  isProbe({ body }: ProbingRequest): boolean {
    return this.probingBodies.has(body);
  }

  /**
   * Lets a request through if a probe of the part is due; returns whether it did. The first probe of
   * a part with `isTied` is due at once: another part has the same evidence, and either may be
   * harmless.
   */
  tryBegin(
    { body }: ProbingRequest,
    fingerprint: Fingerprint,
    isTied: boolean,
    nowMs: number,
  ): boolean {
    const schedule = this.scheduleOf(fingerprint, isTied, nowMs);
    if (nowMs < schedule.dueAtMs || !this.isProber(fingerprint)) {
      return false;
    }
    const { backoffFactor, maxIntervalMs } = this.options;
    schedule.intervalMs = Math.min(schedule.intervalMs * backoffFactor, maxIntervalMs);
    schedule.dueAtMs = nowMs + schedule.intervalMs;
    this.probingBodies.add(body);
    return true;
  }

  /** Forgets parts that are no longer refused. */
  retain(refused: ReadonlySet<Fingerprint>): void {
    for (const fingerprint of this.schedules.keys()) {
      if (!refused.has(fingerprint)) {
        this.schedules.delete(fingerprint);
      }
    }
  }

  private scheduleOf(fingerprint: Fingerprint, isTied: boolean, nowMs: number): ProbeSchedule {
    const { firstProbeMs } = this.options;
    const schedule = this.schedules.get(fingerprint) ?? {
      dueAtMs: isTied ? nowMs : nowMs + firstProbeMs,
      intervalMs: firstProbeMs,
    };
    this.schedules.set(fingerprint, schedule);
    return schedule;
  }
}
