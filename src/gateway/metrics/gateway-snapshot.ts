/** The current state of a gateway, as exported in its metrics. */
import type { KnownBackend } from '../dispatch/known-backend.js';

const MS_PER_S = 1_000;

/**
 * State of a backend as observed by this gateway; an ejected one is listed as ready but gets
 * requests only where no other backend is left.
 */
export type ObservedState = 'ready' | 'draining' | 'ejected' | 'gone';

/** Number of a service's backends in one state. */
export interface BackendCount {
  readonly service: string;
  readonly state: ObservedState;
  readonly count: number;
}

/**
 * A condition that a backend reported, with its value: `limited` with the rate limit in requests
 * per second, `resting` with the remaining backoff in seconds, or `leaving` (draining) with 1.
 */
export interface ReportedCondition {
  readonly backend: string;
  readonly condition: 'limited' | 'leaving' | 'resting';
  readonly value: number;
}

/** The current state of a gateway; times in milliseconds, undefined if unknown. */
export interface GatewaySnapshot {
  readonly storeAgeMs: number | undefined;
  /** Newest known epoch of the store; `NO_EPOCH` if the store has no epochs. */
  readonly storeEpoch: number;
  /**
   * Number of records that a store restored from a backup lacks or shows in an older version, and
   * that are kept for now.
   */
  readonly retainedRecords: number;
  readonly configurationAgeMs: number | undefined;
  readonly backends: readonly BackendCount[];
  /** Conditions that backends reported and that still apply. */
  readonly conditions: readonly ReportedCondition[];
  /** Number of zones that operators evacuated. */
  readonly evacuatedZones: number;
  /** Retries that the retry budget still allows, by service. */
  readonly repeatsLeft: ReadonlyMap<string, number>;
  /** Fill levels of the quota pools that this gateway holds, by tenant. */
  readonly quotaLevels: ReadonlyMap<string, number>;
  /** Quota tokens that this gateway has charged since its start, by tenant. */
  readonly quotaUse: ReadonlyMap<string, number>;
  /** Number of origins of streams that this gateway holds. */
  readonly streamOrigins: number;
  /** Number of requests that wait for a backend, by service. */
  readonly waiting: ReadonlyMap<string, number>;
  /** Longest delay of a tick, and so of the event loop, since the last snapshot. */
  readonly loopDelayMs: number;
  /** Number of backends whose network paths from this gateway are suspected to be cut. */
  readonly suspectedPaths: number;
  /**
   * Number of requests that are refused because they crash backends, and of suspected ones with
   * fewer crashes.
   */
  readonly crashingRequests: { readonly refused: number; readonly suspected: number };
}

/** Counts backends by service and observed state. */
export function countBackends(backends: readonly KnownBackend[], nowMs: number): BackendCount[] {
  const counts = new Map<string, BackendCount>();
  for (const known of backends) {
    const { service } = known.backend;
    const state = observedState(known, nowMs);
    const key = `${service} ${state}`;
    counts.set(key, { service, state, count: (counts.get(key)?.count ?? 0) + 1 });
  }
  return [...counts.values()];
}

/** Lists the conditions that backends reported and that still apply. */
export function listConditions(
  backends: readonly KnownBackend[],
  nowMs: number,
): ReportedCondition[] {
  return backends.flatMap(({ backend: { id: backend }, condition }): ReportedCondition[] => {
    const { limitPerS, isLeaving, backoffUntilMs } = condition;
    const backoffLeftS = Math.max(0, backoffUntilMs - nowMs) / MS_PER_S;
    return [
      ...(limitPerS === undefined
        ? []
        : [{ backend, condition: 'limited', value: limitPerS } as const]),
      ...(isLeaving ? [{ backend, condition: 'leaving', value: 1 } as const] : []),
      ...(backoffLeftS > 0
        ? [{ backend, condition: 'resting', value: backoffLeftS } as const]
        : []),
    ];
  });
}

function observedState(known: KnownBackend, nowMs: number): ObservedState {
  if (!known.isCurrent) {
    return 'gone';
  }
  if (known.isDraining) {
    return 'draining';
  }
  return known.health.isEjected(nowMs) ? 'ejected' : 'ready';
}
