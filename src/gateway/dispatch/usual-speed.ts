/** Query: what is assumed of a back end of which nothing was learned: the mean of those of its service. */
import type { PrefillSpeed } from '../../slot-agent/slot-messages.js';
import type { KnownBackend } from './known-backend.js';

/** What is assumed of a back end of which nothing was learned. */
export interface UsualSpeed {
  readonly msPerUnit: number;
  /** Undefined while nothing was learned of any. */
  readonly prefill: PrefillSpeed | undefined;
}

/**
 * Time for which a mean is used again, in milliseconds. Reckoned anew for each waiting request the means took
 * a fifth of the time of a gateway in a burst (samples of 20 gateways before 30 engines, collection of garbage
 * left out), and learned speeds move by a few parts in a hundred with an answer.
 */
const KEEP_MS = 100;

/** The means of the services, each kept for a while. */
export class UsualSpeeds {
  private readonly byService = new Map<
    string,
    { readonly usual: UsualSpeed; readonly atMs: number }
  >();

  /** The mean of what was learned of `backends`, which are those of `service`. */
  of(service: string, backends: readonly KnownBackend[], nowMs: number): UsualSpeed {
    const kept = this.byService.get(service);
    if (kept !== undefined && nowMs - kept.atMs < KEEP_MS) {
      return kept.usual;
    }
    const usual = usualSpeed(backends);
    this.byService.set(service, { usual, atMs: nowMs });
    return usual;
  }
}

/** The means of what was learned of `backends`. */
export function usualSpeed(backends: readonly KnownBackend[]): UsualSpeed {
  const whole = new Mean();
  const base = new Mean();
  const perToken = new Mean();
  for (const { msPerUnit, speed } of backends) {
    const { prefill } = speed;
    if (msPerUnit !== undefined) {
      whole.add(msPerUnit);
    }
    if (prefill !== undefined) {
      base.add(prefill.baseMs);
      perToken.add(prefill.msPerToken);
    }
  }
  const [baseMs, msPerToken] = [base.value, perToken.value];
  return {
    msPerUnit: whole.value ?? 1,
    prefill: baseMs === undefined || msPerToken === undefined ? undefined : { baseMs, msPerToken },
  };
}

/** A mean of the values that were added. */
class Mean {
  private sum = 0;
  private count = 0;

  add(value: number): void {
    this.sum += value;
    this.count += 1;
  }

  /** Undefined before the first value. */
  get value(): number | undefined {
    return this.count === 0 ? undefined : this.sum / this.count;
  }
}
