/** Backends that sent bytes which belong to no request. */
import type { Clock } from '../../clock.js';

/**
 * Time for which a backend is remembered, in milliseconds. A faulty backend that is no longer
 * remembered costs one more request that may not be repeated.
 */
const MEMORY_MS = 60_000;

/** Remembers backends that sent surplus bytes, by address. */
export class SurplusSenders {
  private readonly lastSeenAtMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that the backend at `address` sent surplus bytes; returns whether that is news. */
  note(address: string): boolean {
    const isNews = !this.has(address);
    this.evictExpired();
    this.lastSeenAtMs.set(address, this.clock.now());
    return isNews;
  }

  /** Whether the backend at `address` sent surplus bytes lately. */
  has(address: string): boolean {
    const seenAtMs = this.lastSeenAtMs.get(address);
    return seenAtMs !== undefined && this.clock.now() - seenAtMs <= MEMORY_MS;
  }

  private evictExpired(): void {
    for (const address of this.lastSeenAtMs.keys()) {
      if (!this.has(address)) {
        this.lastSeenAtMs.delete(address);
      }
    }
  }
}
