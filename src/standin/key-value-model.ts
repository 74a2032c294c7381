/**
 * In-memory fake of the platform's key-value service with compare-and-swap, leases and watches. It
 * enforces rate limits and simulates outages and lost responses.
 */
import type { Clock } from '../clock.js';
import type { KeyValueEntry, LeaseGrant, SwapOutcome } from '../key-value/key-value.js';

/** Rate limits of the service. */
export interface KeyValueLimits {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

/** Rate limits of the platform's service. */
export const DEFAULT_KEY_VALUE_LIMITS: KeyValueLimits = {
  readsPerSecond: 2_000,
  writesPerSecond: 200,
};

/** Category of a call for rate limiting and counting. */
export type KeyValueCallKind = 'read' | 'write' | 'watch';

interface Lease {
  holder: string;
  fencingNumber: number;
  expiresAtMs: number;
}

interface Watcher {
  readonly afterRevision: number;
  readonly resolve: (entry: KeyValueEntry | undefined) => void;
}

const ONE_SECOND_MS = 1_000;

/** State and behavior of the service, without a transport. */
export class KeyValueModel {
  /** Total calls by kind. */
  readonly calls: Record<KeyValueCallKind, number> = { read: 0, write: 0, watch: 0 };
  /** Maximum number of calls in a one-second window, by kind. */
  readonly peakPerSecond: Record<KeyValueCallKind, number> = { read: 0, write: 0, watch: 0 };
  /** Whether the service is unavailable. */
  isDown = false;
  /** Number of upcoming writes that take effect but whose responses are lost. */
  answersToLose = 0;

  private readonly entries = new Map<string, KeyValueEntry>();
  private readonly leases = new Map<string, Lease>();
  private readonly watchers = new Map<string, Set<Watcher>>();
  private readonly rateWindows: Record<KeyValueCallKind, { startMs: number; count: number }> = {
    read: { startMs: 0, count: 0 },
    write: { startMs: 0, count: 0 },
    watch: { startMs: 0, count: 0 },
  };
  private lastRevision = 0;

  constructor(
    private readonly clock: Clock,
    private readonly limits: KeyValueLimits = DEFAULT_KEY_VALUE_LIMITS,
  ) {}

  /** Counts a call; returns false if the service is unavailable or the rate limit is exceeded. */
  admit(kind: KeyValueCallKind): boolean {
    this.calls[kind] += 1;
    const window = this.rateWindows[kind];
    if (this.clock.now() - window.startMs >= ONE_SECOND_MS) {
      window.startMs = this.clock.now();
      window.count = 0;
    }
    window.count += 1;
    this.peakPerSecond[kind] = Math.max(this.peakPerSecond[kind], window.count);
    const limit = kind === 'write' ? this.limits.writesPerSecond : this.limits.readsPerSecond;
    return !this.isDown && window.count <= limit;
  }

  /** Returns whether to drop the response of the current write, and decrements `answersToLose`. */
  consumeLostResponse(): boolean {
    if (this.answersToLose === 0) {
      return false;
    }
    this.answersToLose -= 1;
    return true;
  }

  /** Returns the entry of a key, or undefined if the key does not exist. */
  get(key: string): KeyValueEntry | undefined {
    return this.entries.get(key);
  }

  /** Returns the number of keys that start with `prefix`. */
  countKeys(prefix: string): number {
    return [...this.entries.keys()].filter((key) => key.startsWith(prefix)).length;
  }

  /** Writes `value` (null deletes the key) if the revision equals `expectedRevision`. */
  compareAndSwap(key: string, expectedRevision: number, value: unknown): SwapOutcome {
    const current = this.entries.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) {
      return { swapped: false, current };
    }
    this.lastRevision += 1;
    if (value === null) {
      this.entries.delete(key);
    } else {
      this.entries.set(key, { value, revision: this.lastRevision });
    }
    this.notifyWatchers(key);
    return { swapped: true, revision: this.lastRevision };
  }

  /** Resolves when the key's revision exceeds `afterRevision`, or after `waitMs`. */
  watch(key: string, afterRevision: number, waitMs: number): Promise<KeyValueEntry | undefined> {
    const current = this.entries.get(key);
    if (current !== undefined && current.revision > afterRevision) {
      return Promise.resolve(current);
    }
    return new Promise((resolve) => {
      const watcher: Watcher = { afterRevision, resolve };
      const watchers = this.watchers.get(key) ?? new Set();
      this.watchers.set(key, watchers.add(watcher));
      this.clock.setTimeout(() => {
        if (watchers.delete(watcher)) {
          resolve(this.entries.get(key));
        }
      }, waitMs);
    });
  }

  /** Acquires or renews a lease; returns undefined if another holder has it. */
  acquireLease(name: string, holder: string, durationMs: number): LeaseGrant | undefined {
    const lease = this.leases.get(name);
    const isHeld = lease !== undefined && lease.expiresAtMs > this.clock.now();
    if (isHeld && lease.holder !== holder) {
      return undefined;
    }
    const isRenewal = isHeld && lease.holder === holder;
    const fencingNumber = isRenewal ? lease.fencingNumber : (lease?.fencingNumber ?? 0) + 1;
    this.leases.set(name, { holder, fencingNumber, expiresAtMs: this.clock.now() + durationMs });
    return { holder, fencingNumber, durationMs };
  }

  private notifyWatchers(key: string): void {
    const entry = this.entries.get(key);
    for (const watcher of this.watchers.get(key) ?? []) {
      if (entry !== undefined && entry.revision > watcher.afterRevision) {
        this.watchers.get(key)?.delete(watcher);
        watcher.resolve(entry);
      }
    }
  }
}
