/** Runs every callback that a request passes to its ports inside its boundary. */
import type { Clock } from '../../clock.js';
import type { AttemptHandlers } from './attempt.js';
import type { ConfineCallback, FaultBoundary } from './fault-boundary.js';
import type { RequestPorts } from './request-model.js';

/** Returns ports that run every callback of the request inside its boundary. */
export function confinePorts(ports: RequestPorts, { confine }: FaultBoundary): RequestPorts {
  return {
    ...ports,
    confine,
    clock: confineClock(ports.clock, confine),
    sender: {
      send: (attempt, handlers) => ports.sender.send(attempt, confineHandlers(handlers, confine)),
    },
    chargeRetry: (request, onResult) => ports.chargeRetry(request, confine(onResult)),
  };
}

function confineClock(clock: Clock, confine: ConfineCallback): Clock {
  return {
    now: () => clock.now(),
    setTimeout: (callback, delayMs) => clock.setTimeout(confine(callback), delayMs),
    clearTimeout: (handle) => clock.clearTimeout(handle),
  };
}

function confineHandlers(handlers: AttemptHandlers, confine: ConfineCallback): AttemptHandlers {
  return {
    onConnected: confine((elapsedMs: number) => handlers.onConnected?.(elapsedMs)),
    onProcess: confine((process) => handlers.onProcess?.(process)),
    onHead: confine((head) => handlers.onHead(head)),
    onData: confine((bytes) => handlers.onData(bytes)),
    onEnd: confine(() => handlers.onEnd()),
    onFailure: confine((failure) => handlers.onFailure(failure)),
  };
}
