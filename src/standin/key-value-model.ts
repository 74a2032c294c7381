/** Stand-in for the platform's key-value service: compare-and-swap, leases, watches, rates, outages, lost answers. */
import type { Clock } from '../clock.js';
import type { KeyValueEntry, LeaseGrant, SwapOutcome } from '../key-value/key-value.js';

/** Rates that the service bears. */
export interface KeyValueLimits {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

/** Rates as the brief gives them. */
export const DEFAULT_KEY_VALUE_LIMITS: KeyValueLimits = {
  readsPerSecond: 2_000,
  writesPerSecond: 200,
};

/** What a call was, for counting. */
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

/** State and rules of the service, without any transport. */
export class KeyValueModel {
  /** Calls so far by kind. */
  readonly calls: Record<KeyValueCallKind, number> = { read: 0, write: 0, watch: 0 };
  /** Most calls of a kind within one second. */
  readonly peakPerSecond: Record<KeyValueCallKind, number> = { read: 0, write: 0, watch: 0 };
  /** Whether the service is down. */
  isDown = false;
  /** How many answers of coming writes are lost after taking effect. */
  answersToLose = 0;

  private readonly entries = new Map<string, KeyValueEntry>();
  private readonly leases = new Map<string, Lease>();
  private readonly watchers = new Map<string, Set<Watcher>>();
  private readonly windows: Record<KeyValueCallKind, { startMs: number; count: number }> = {
    read: { startMs: 0, count: 0 },
    write: { startMs: 0, count: 0 },
    watch: { startMs: 0, count: 0 },
  };
  private lastRevision = 0;

  constructor(
    private readonly clock: Clock,
    private readonly limits: KeyValueLimits = DEFAULT_KEY_VALUE_LIMITS,
  ) {}

  /** Counts a call; false if the service is down or the call is over the rate. */
  admit(kind: KeyValueCallKind): boolean {
    this.calls[kind] += 1;
    const window = this.windows[kind];
    if (this.clock.now() - window.startMs >= ONE_SECOND_MS) {
      window.startMs = this.clock.now();
      window.count = 0;
    }
    window.count += 1;
    this.peakPerSecond[kind] = Math.max(this.peakPerSecond[kind], window.count);
    const limit = kind === 'write' ? this.limits.writesPerSecond : this.limits.readsPerSecond;
    return !this.isDown && window.count <= limit;
  }

  /** Whether the answer of the write just made is to be lost. */
  takeLostAnswer(): boolean {
    if (this.answersToLose === 0) {
      return false;
    }
    this.answersToLose -= 1;
    return true;
  }

  /** Reads a key. */
  get(key: string): KeyValueEntry | undefined {
    return this.entries.get(key);
  }

  /** Number of keys that start with `prefix`. */
  countKeys(prefix: string): number {
    return [...this.entries.keys()].filter((key) => key.startsWith(prefix)).length;
  }

  /** Writes `value` (null deletes) if the revision is still the expected one. */
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
    this.wakeWatchers(key);
    return { swapped: true, revision: this.lastRevision };
  }

  /** Resolves once the key's revision passes `afterRevision`, or after `waitMs`. */
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

  /** Takes or prolongs a lease. */
  acquireLease(name: string, holder: string, durationMs: number): LeaseGrant | undefined {
    const held = this.leases.get(name);
    const isHeld = held !== undefined && held.expiresAtMs > this.clock.now();
    if (isHeld && held.holder !== holder) {
      return undefined;
    }
    const isSameTerm = isHeld && held.holder === holder;
    const fencingNumber = isSameTerm ? held.fencingNumber : (held?.fencingNumber ?? 0) + 1;
    this.leases.set(name, { holder, fencingNumber, expiresAtMs: this.clock.now() + durationMs });
    return { holder, fencingNumber, durationMs };
  }

  private wakeWatchers(key: string): void {
    const entry = this.entries.get(key);
    for (const watcher of this.watchers.get(key) ?? []) {
      if (entry !== undefined && entry.revision > watcher.afterRevision) {
        this.watchers.get(key)?.delete(watcher);
        watcher.resolve(entry);
      }
    }
  }
}
