/** Creates the graceful shutdown of a gateway. */
import type { Clock } from '../clock.js';
import type { CallerListener } from './admission/caller-listener.js';
import type { GatewayRequests } from './gateway-requests.js';
import { GracefulShutdown } from './graceful-shutdown.js';

/** The parts of a gateway that its shutdown ends. */
export interface ShutdownDependencies {
  readonly clock: Clock;
  /** Time from the stop signal to the kill, in milliseconds. */
  readonly graceMs: number;
  readonly listener: CallerListener;
  readonly requests: () => GatewayRequests;
  /** Ends the gateway; called once. */
  end(): void;
}

/** Returns a shutdown that has not begun. */
export function createShutdown(dependencies: ShutdownDependencies): GracefulShutdown {
  const { clock, graceMs, listener, requests } = dependencies;
  return new GracefulShutdown(clock, graceMs, {
    stopListening: (onStopped) => listener.stopListening(onStopped),
    afterQuietPoll: (callback) => listener.afterQuietPoll(callback),
    countActive: () => requests().activeCount + listener.pendingCount,
    refuseWaiting: () => requests().refuseWaiting(),
    failUnanswered: () => requests().failUnanswered(),
    end: () => dependencies.end(),
  });
}
