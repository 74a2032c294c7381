/** Decides when an attempt on a backend that is reported to have ended is lost. */
import type { Clock } from '../../clock.js';
import type { ExitEvidence } from '../crashes/interrupted-runs.js';
import type { KnownBackend } from '../dispatch/known-backend.js';
import { OneShotTimer } from './one-shot-timer.js';

/**
 * Grace period for data that a backend sent before it ended, in milliseconds: several times the
 * latency between zones. Without it a complete response would be discarded if the report of the
 * backend's end overtook it.
 */
const ENDED_GRACE_MS = 300;

/**
 * Whether a backend that is reported to have ended may still complete its requests: one that leaves
 * closes its port first, after which another process may use it, and its connections show when it
 * ends. An announcement that was superseded does not show that its backend leaves.
 */
export function isCompletingRequests(
  known: KnownBackend | undefined,
  evidence: ExitEvidence,
): boolean {
  return (evidence === 'replaced' ? known?.isDraining : known?.mayBeLeaving) === true;
}

/** Runs from the report of a backend's end until no data has arrived for the grace period. */
export class EndedBackendTimer {
  private readonly timer: OneShotTimer;

  constructor(private readonly clock: Clock) {
    this.timer = new OneShotTimer(clock);
  }

  /**
   * Starts the grace period unless it runs already. Data that arrived at `lastReceiptAtMs` shows
   * that the backend was alive then, even if its port was found closed, and extends the period.
   */
  start(lastReceiptAtMs: () => number, onLost: () => void): void {
    if (!this.timer.isRunning) {
      this.schedule(ENDED_GRACE_MS, lastReceiptAtMs, onLost);
    }
  }

  /** Stops the timer. */
  clear(): void {
    this.timer.clear();
  }

  private schedule(delayMs: number, lastReceiptAtMs: () => number, onLost: () => void): void {
    this.timer.start(delayMs, () => {
      const idleMs = this.clock.now() - lastReceiptAtMs();
      if (idleMs < ENDED_GRACE_MS) {
        this.schedule(ENDED_GRACE_MS - idleMs, lastReceiptAtMs, onLost);
      } else {
        onLost();
      }
    });
  }
}
