/** Variants of the gateway that swallow the error of one wait of a request. */
import { FaultBoundary } from '../../src/gateway/attempt/fault-boundary.js';
import { ProxiedRequest } from '../../src/gateway/attempt/proxied-request.js';
import { GatewayRequests } from '../../src/gateway/gateway-requests.js';
import type { FailingWait, WaitError } from './failing-waits.js';
import type { OpenGateway } from './open-gateway.js';

type Method = (this: unknown, ...args: never[]) => unknown;

/** Whether the only open request of the gateway is in the wait. */
function isIn(wait: FailingWait, gateway: OpenGateway): boolean {
  const { openRequests } = gateway.requests as unknown as {
    openRequests: { open: ReadonlySet<{ readonly stage: string }> };
  };
  const [request] = openRequests.open;
  return request !== undefined && wait.isWaiting(request.stage, gateway.attempts.length);
}

/** Replaces a method of a class; returns a function that restores it. */
function replace(owner: object, name: string, wrap: (method: Method) => Method): () => void {
  const methods = owner as Record<string, Method>;
  const method = methods[name]!;
  methods[name] = wrap(method);
  return () => void (methods[name] = method);
}

/** Drops the refusals of requests in the wait. */
function swallowRefusals(wait: FailingWait, gateway: OpenGateway): () => void {
  const dropInWait = (method: Method): Method =>
    function (this: unknown, ...args) {
      return isIn(wait, gateway) ? undefined : method.apply(this, args);
    };
  const restores = [
    replace(GatewayRequests.prototype, 'refuse', dropInWait),
    replace(ProxiedRequest.prototype, 'replyWithFailure', dropInWait),
  ];
  return () => restores.forEach((restore) => restore());
}

/** Drops the exceptions of steps that begin in the wait. */
function swallowExceptions(wait: FailingWait, gateway: OpenGateway): () => void {
  const dropInWait = (run: Method): Method =>
    function (this: unknown, ...args) {
      const [step] = args as unknown as [() => void];
      const tryStep = () => {
        try {
          step();
        } catch {
          // The fault of this variant.
        }
      };
      return run.apply(this, [isIn(wait, gateway) ? tryStep : step] as never[]);
    };
  return replace(FaultBoundary.prototype, 'run', dropInWait);
}

/** Makes the gateway swallow an error of the wait; the returned function ends that. */
export function swallowErrors(
  wait: FailingWait,
  error: WaitError,
  gateway: OpenGateway,
): () => void {
  return error === 'refusal' ? swallowRefusals(wait, gateway) : swallowExceptions(wait, gateway);
}
