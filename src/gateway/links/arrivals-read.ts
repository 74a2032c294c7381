/** Calls back once everything that has arrived at this process was read. */
import type { Clock } from '../../clock.js';

/**
 * Calls back, in the same turn of the loop, once whatever had arrived at the time that is passed on was read.
 * Timers run before what arrived while the process was busy or stood still: without this its own delay would
 * count as silence of others.
 */
export function onceArrivalsRead(clock: Clock, callback: (readUpToMs: number) => void): void {
  const readUpToMs = clock.now();
  setImmediate(() => callback(readUpToMs));
}
