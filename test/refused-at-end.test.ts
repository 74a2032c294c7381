/** Requests that wait when a gateway is about to end get a refusal that is true. */
import test from 'ava';
import { GatewayRequests } from '../src/gateway/gateway-requests.js';
import type { GatewayRequestsDependencies } from '../src/gateway/gateway-requests.js';
import type { ChargeResult } from '../src/gateway/quotas/pending-charge.js';
import type { ResumptionDecision } from '../src/gateway/gateway-streams.js';
import { RequestAdmission } from '../src/gateway/admission/request-admission.js';
import { headerValue } from '../src/http/header-value.js';
import { err, ok } from '../src/result.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import {
  backendOf,
  GatewayHarness,
  PLAIN_PROTOCOL,
  RecordedReply,
  routeOf,
} from './support/gateway-harness.js';

const HEAD = { method: 'GET', path: '/', host: 'a', rawHeaders: [], headers: {} };
const STREAM = routeOf({ kind: 'stream', isResumable: true });

/** Starts a request whose admission returns `admitted`; `isOld` makes it wait for a confirmation. */
function receiveRequest(admitted: ReturnType<RequestAdmission['admit']>, isOld = false) {
  const seen = { ended: 0, cancelled: 0, settle: undefined as unknown };
  const protocol = {
    ...PLAIN_PROTOCOL,
    readRequest: () => ({ ...PLAIN_PROTOCOL.readRequest({}), lastEventId: 'e1' }),
  };
  const dependencies = {
    adapter: { protocol },
    limits: { retryRatio: 1, retryWindowS: 10, retrySlack: 10 },
    configuration: { version: 1, table: undefined },
    cluster: { position: {}, storeAgeMs: 0, isKnowledgeOld: isOld, size: 1 },
    clock: new VirtualClock(),
    log: { write: () => undefined },
    metrics: { record: () => undefined },
    isRefusing: () => false,
    onEnd: () => (seen.ended += 1),
    quotas: {
      charge: (_tenant: string, _cost: number, onResult: (result: ChargeResult) => void) => {
        seen.settle = onResult;
        return { cancel: () => (seen.cancelled += 1) };
      },
    },
    streams: {
      resume: (_request: unknown, onDecision: (decision: ResumptionDecision) => void) => {
        seen.settle = onDecision;
      },
    },
  } as unknown as GatewayRequestsDependencies;
  const requests = new GatewayRequests(dependencies);
  (requests as unknown as { admission: object }).admission = { admit: () => admitted };
  const reply = new RecordedReply();
  requests.receive(HEAD, reply).onBody(Buffer.alloc(0));
  return { requests, reply, seen };
}

test('a request that waits for its quota charge is refused as not run, and its charge is given back', (t) => {
  const accepted = { ...new GatewayHarness().accept(), tenant: headerValue('shop'), quotaCost: 5 };
  const { requests, reply, seen } = receiveRequest(ok(accepted));
  t.is(requests.activeCount, 1);
  requests.refuseWaiting();
  t.deepEqual([reply.status, reply.body, reply.isEnded], [503, '{"error":"stopping"}', true]);
  t.deepEqual([requests.activeCount, seen.ended, seen.cancelled], [0, 1, 1]);
});

test('a request that waits for the origin of its stream is refused as not run', (t) => {
  const accepted = new GatewayHarness().accept({ route: STREAM });
  const { requests, reply, seen } = receiveRequest(ok(accepted));
  t.is(requests.activeCount, 1);
  requests.refuseWaiting();
  t.deepEqual([reply.status, reply.body], [503, '{"error":"stopping"}']);
  (seen.settle as (decision: ResumptionDecision) => void)({
    kind: 'refuse',
    reason: 'stream-unknown',
  });
  t.deepEqual([requests.activeCount, seen.ended], [0, 1]);
  t.is(reply.body, '{"error":"stopping"}');
});

test('a request that waits for a confirmed configuration is refused as not run', (t) => {
  const { requests, reply, seen } = receiveRequest(err({ reason: 'no-route' }), true);
  t.is(requests.activeCount, 1);
  requests.refuseWaiting();
  t.deepEqual([reply.status, reply.body], [503, '{"error":"stopping"}']);
  t.deepEqual([requests.activeCount, seen.ended], [0, 1]);
});

test('a request that waits for a backend is refused as not run, one that a backend has is not', (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  const running = world.request();
  const waiting = world.request();
  t.is(world.attempts.length, 1);
  for (const { request } of [running, waiting]) {
    request.refuseIfUnsent({ reason: 'stopping', retryAfterMs: 0 }, 'the gateway stops');
  }
  t.deepEqual([waiting.reply.status, waiting.reply.body], [503, '{"error":"stopping"}']);
  t.is(running.reply.status, 0);
});

test('a request that waits for another backend after it may have run gets a status that promises nothing', (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  const { request, reply } = world.request();
  world.request();
  t.is(world.attempts.length, 2);
  const failure = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
  world.attempts[0]!.handlers.onFailure(failure);
  t.is(reply.status, 0);
  request.refuseIfUnsent({ reason: 'stopping', retryAfterMs: 0 }, 'the gateway stops');
  t.is(reply.status, 502);
});

test('a request that runs at a backend is failed when the gateway ends, and its slot is given back', (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  const { request, reply } = world.request();
  request.failIfUnanswered({ reason: 'stopping', retryAfterMs: 0 }, 'the gateway stops');
  t.deepEqual([reply.status, reply.body], [502, '{"error":"backend-failed"}']);
  t.is(world.requestEnds[0]!.tries[0]!.detail, 'the gateway stops');
  world.request();
  t.is(world.attempts.length, 2);
});

test('a stream that has begun is not failed before the gateway ends', (t) => {
  const world = new GatewayHarness(backendOf('a'));
  const { request, reply } = world.request({ route: STREAM });
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from('id: 1\ndata: a\n\n'));
  request.failIfUnanswered({ reason: 'stopping', retryAfterMs: 0 }, 'the gateway stops');
  t.deepEqual([reply.status, reply.isAborted], [200, false]);
});
