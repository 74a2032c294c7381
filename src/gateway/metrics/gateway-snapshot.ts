/** What a gateway believes at the moment, as its metrics show it. */
import type { KnownBackend } from '../dispatch/known-backend.js';

const MS_PER_S = 1_000;

/** State that a back end is believed to be in; an ejected one is listed as ready but left alone. */
export type BelievedState = 'ready' | 'draining' | 'ejected' | 'gone';

/** Back ends of a service that are believed to be in one state. */
export interface BackendCount {
  readonly service: string;
  readonly state: BelievedState;
  readonly count: number;
}

/** What a back end said of itself: a limit in requests a second, a rest in seconds that are left, or that it leaves (1). */
export interface StatedCondition {
  readonly backend: string;
  readonly condition: 'limited' | 'leaving' | 'resting';
  readonly value: number;
}

/** What a gateway believes at the moment; times in milliseconds, undefined where nothing is known. */
export interface GatewaySnapshot {
  readonly storeAgeMs: number | undefined;
  /** The newest epoch of the store that is known; `NO_EPOCH` where it counts none. */
  readonly storeEpoch: number;
  /** Records that the store, back from a copy, does not show as they are known, and that are kept for now. */
  readonly recordsKept: number;
  readonly configurationAgeMs: number | undefined;
  readonly backends: readonly BackendCount[];
  /** What back ends said of themselves and still holds. */
  readonly conditions: readonly StatedCondition[];
  /** Zones that operators evacuated. */
  readonly evacuatedZones: number;
  /** Repeats that the retry budget still allows, by service. */
  readonly repeatsLeft: ReadonlyMap<string, number>;
  /** What is in the pools of tenants' quotas that this gateway holds, by tenant. */
  readonly quotaLevels: ReadonlyMap<string, number>;
  /** Tokens of quotas that this gateway let pass since it started, by tenant. */
  readonly quotaUse: ReadonlyMap<string, number>;
  /** Requests that wait for a back end, by service. */
  readonly waiting: ReadonlyMap<string, number>;
  /** Longest delay of the event loop since this was asked last. */
  readonly loopDelayMs: number;
  /** Back ends whose paths from here are believed to be cut. */
  readonly suspectPaths: number;
  /** Requests that are refused since they crash back ends, and those that have done so less often. */
  readonly crashingRequests: { readonly refused: number; readonly suspected: number };
}

/** Counts back ends by service and believed state. */
export function countBackends(backends: readonly KnownBackend[], nowMs: number): BackendCount[] {
  const counts = new Map<string, BackendCount>();
  for (const known of backends) {
    const { service } = known.backend;
    const state = believedState(known, nowMs);
    const key = `${service} ${state}`;
    counts.set(key, { service, state, count: (counts.get(key)?.count ?? 0) + 1 });
  }
  return [...counts.values()];
}

/** What back ends said of themselves and still holds. */
export function listConditions(
  backends: readonly KnownBackend[],
  nowMs: number,
): StatedCondition[] {
  return backends.flatMap(({ backend: { id: backend }, condition }): StatedCondition[] => {
    const { limitPerS, isLeaving, restUntilMs } = condition;
    const restLeftS = Math.max(0, restUntilMs - nowMs) / MS_PER_S;
    return [
      ...(limitPerS === undefined
        ? []
        : [{ backend, condition: 'limited', value: limitPerS } as const]),
      ...(isLeaving ? [{ backend, condition: 'leaving', value: 1 } as const] : []),
      ...(restLeftS > 0 ? [{ backend, condition: 'resting', value: restLeftS } as const] : []),
    ];
  });
}

function believedState(known: KnownBackend, nowMs: number): BelievedState {
  if (!known.isCurrent) {
    return 'gone';
  }
  if (known.isLeaving) {
    return 'draining';
  }
  return known.health.isEjected(nowMs) ? 'ejected' : 'ready';
}
