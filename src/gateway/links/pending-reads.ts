/** Defers a callback until pending socket input has been read. */
import type { Clock } from '../../clock.js';

/**
 * Calls back in the same event-loop iteration, once all input that had arrived by `readUpToMs` has
 * been read. Timers run before input that arrived while the process was busy or paused: without
 * this, its own delay would count as silence of its peers.
 */
export function afterPendingReads(clock: Clock, callback: (readUpToMs: number) => void): void {
  const readUpToMs = clock.now();
  setImmediate(() => callback(readUpToMs));
}
