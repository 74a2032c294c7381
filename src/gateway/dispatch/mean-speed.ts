/** Mean speed of a service's backends, assumed for a backend without samples of its own. */
import type { PrefillSpeed } from '../../slot-agent/slot-messages.js';
import type { KnownBackend } from './known-backend.js';

/** Speed assumed for a backend without samples of its own. */
export interface MeanSpeed {
  readonly msPerUnit: number;
  /** Undefined before the first sample of any backend. */
  readonly prefill: PrefillSpeed | undefined;
}

/**
 * Lifetime of a cached mean, in milliseconds. Recomputing the means for each waiting request took a
 * fifth of a gateway's time in a burst (20 gateways and 30 engines, garbage collection excluded),
 * while learned speeds change by a few percent per response.
 */
const CACHE_MS = 100;

/** Caches the mean speed of each service. */
export class MeanSpeedCache {
  private readonly byService = new Map<
    string,
    { readonly meanSpeed: MeanSpeed; readonly atMs: number }
  >();

  /** Returns the mean speed of `backends`, which are those of `service`. */
  of(service: string, backends: readonly KnownBackend[], nowMs: number): MeanSpeed {
    const cached = this.byService.get(service);
    if (cached !== undefined && nowMs - cached.atMs < CACHE_MS) {
      return cached.meanSpeed;
    }
    const meanSpeed = computeMeanSpeed(backends);
    this.byService.set(service, { meanSpeed, atMs: nowMs });
    return meanSpeed;
  }
}

/** Returns the mean of the learned speeds of `backends`. */
export function computeMeanSpeed(backends: readonly KnownBackend[]): MeanSpeed {
  const perUnit = new Mean();
  const base = new Mean();
  const perToken = new Mean();
  for (const { msPerUnit, speed } of backends) {
    const { prefill } = speed;
    if (msPerUnit !== undefined) {
      perUnit.add(msPerUnit);
    }
    if (prefill !== undefined) {
      base.add(prefill.baseMs);
      perToken.add(prefill.msPerToken);
    }
  }
  const [baseMs, msPerToken] = [base.value, perToken.value];
  return {
    msPerUnit: perUnit.value ?? 1,
    prefill: baseMs === undefined || msPerToken === undefined ? undefined : { baseMs, msPerToken },
  };
}

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
