/** The waits of a request, each with what it waits for failing, on a virtual clock. */
import type { ChargeResult } from '../../src/gateway/quotas/pending-charge.js';
import type { ResumptionDecision } from '../../src/gateway/gateway-streams.js';
import { backendOf, routeOf } from './gateway-harness.js';
import { OpenGateway } from './open-gateway.js';
import type { OpenCaller } from './open-gateway.js';

/** How a wait fails: what it waits for is refused, or an exception ends the step after the wait. */
export type WaitError = 'refusal' | 'exception';

/** Whole requests of callers that stay connected; their waits fail. */
export interface FailingRequest {
  readonly gateway: OpenGateway;
  readonly caller: OpenCaller;
  /** Fails the wait of the request. */
  fail(error: WaitError): void;
}

/** A wait of a request. */
export interface FailingWait {
  readonly name: string;
  /** Whether the request is in this wait. */
  isWaiting(stage: string, attempts: number): boolean;
  /** Brings a request into the wait. */
  begin(): FailingRequest;
}

const STREAM = routeOf({ kind: 'stream', isResumable: true });
const REFUSED_CHARGE: ChargeResult = {
  isGranted: false,
  retryAfterMs: 100,
  refused: 1,
  unanswered: 0,
  left: 0,
};
const REFUSED_RESUMPTION: ResumptionDecision = { kind: 'refuse', reason: 'stream-unknown' };
const AGENT_STATE = {
  kind: 'state',
  occupied: 1,
  failureShare: 0,
  availability: 'open',
  messagesSeen: 0,
  speed: {},
} as const;

/** Returns a value whose use throws. */
function unusable<Value extends object>(): Value {
  const get = (): never => {
    throw new Error('injected');
  };
  return new Proxy({} as Value, { get });
}

function throwAtSend(gateway: OpenGateway): void {
  gateway.send = () => {
    throw new Error('injected');
  };
}

function beginConfirmation(): FailingRequest {
  const gateway = new OpenGateway([backendOf('a')]);
  gateway.isKnowledgeOld = true;
  const caller = gateway.receive('/elsewhere/');
  const fail = (error: WaitError) => {
    if (error === 'exception') {
      gateway.isKnowledgeOld = false;
      Object.defineProperty(gateway.configuration, 'table', { get: () => unusable() });
    }
  };
  return { gateway, caller, fail };
}

function beginCharge(): FailingRequest {
  const gateway = new OpenGateway([backendOf('a')]);
  let settle: ((result: ChargeResult) => void) | undefined;
  gateway.chargeOnce = (onResult) => (settle = onResult);
  const caller = gateway.receive();
  const fail = (error: WaitError) => settle!(error === 'refusal' ? REFUSED_CHARGE : unusable());
  return { gateway, caller, fail };
}

function beginResumption(): FailingRequest {
  const gateway = new OpenGateway([backendOf('a')], STREAM);
  let decide: ((decision: ResumptionDecision) => void) | undefined;
  gateway.resumeOnce = (onDecision) => (decide = onDecision);
  const caller = gateway.receive('/a/', { 'last-event': '1' });
  const fail = (error: WaitError) => decide!(error === 'refusal' ? REFUSED_RESUMPTION : unusable());
  return { gateway, caller, fail };
}

function beginGrant(): FailingRequest {
  const gateway = new OpenGateway([backendOf('a', { slots: 1 })]);
  gateway.dispatcher.connectAgent('a', 0);
  gateway.dispatcher.receiveFromAgent('a', AGENT_STATE, 0);
  const caller = gateway.receive();
  const fail = (error: WaitError) => {
    if (error === 'refusal') {
      gateway.order('z', true);
      return;
    }
    throwAtSend(gateway);
    gateway.dispatcher.receiveFromAgent('a', { kind: 'granted' }, gateway.clock.now());
  };
  return { gateway, caller, fail };
}

function beginRetry(): FailingRequest {
  const gateway = new OpenGateway([backendOf('a'), backendOf('b')]);
  const caller = gateway.receive();
  let settle: ((result: ChargeResult) => void) | undefined;
  gateway.chargeOnce = (onResult) => (settle = onResult);
  gateway.answer(0, 500, 'failed');
  const fail = (error: WaitError) => {
    throwAtSend(gateway);
    settle!(error === 'refusal' ? REFUSED_CHARGE : { isGranted: true, giveBack: () => undefined });
  };
  return { gateway, caller, fail };
}

/** The waits of a request, in their order. */
export const FAILING_WAITS: readonly FailingWait[] = [
  {
    name: 'the confirmation of the configuration',
    isWaiting: (stage) => stage === 'confirming',
    begin: beginConfirmation,
  },
  {
    name: 'the origin of a resumed stream',
    isWaiting: (stage) => stage === 'resuming',
    begin: beginResumption,
  },
  {
    name: 'the charge to a quota',
    isWaiting: (stage) => stage === 'charging',
    begin: beginCharge,
  },
  {
    name: 'the grant of an agent',
    isWaiting: (stage, attempts) => stage === 'waiting' && attempts === 0,
    begin: beginGrant,
  },
  {
    name: 'a retry',
    isWaiting: (stage, attempts) => stage === 'waiting' && attempts > 0,
    begin: beginRetry,
  },
];
