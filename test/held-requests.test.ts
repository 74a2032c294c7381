/** Requests that have ended are not held by what is remembered of them. */
import test from 'ava';
import type { AcceptedRequest } from '../src/gateway/attempt/accepted-request.js';
import { GatewayMetrics } from '../src/gateway/metrics/gateway-metrics.js';
import { collectGarbage } from './support/collect-garbage.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

const BODY_BYTES = 1_000_000;
const END = {
  status: 200,
  reason: 'answered',
  attempts: 0,
  tries: [],
  waitedMs: 0,
  firstByteMs: undefined,
  totalMs: 0,
  longestPauseMs: 0,
} as const;

/** Records that the response to a request was cut off; returns a reference to its body. */
function interruptRequest({ crashingRequests }: GatewayHarness): WeakRef<Buffer> {
  const body = Buffer.alloc(BODY_BYTES, 'x');
  const { request } = acceptedRequest(body);
  const run = crashingRequests.beginRun(request, backendOf('a', { slots: 9 }));
  crashingRequests.recordInterrupted(run, false);
  return new WeakRef(body);
}

function acceptedRequest(body: Buffer): { readonly request: AcceptedRequest } {
  const identity = { route: routeOf({ kind: 'unsafe' }), service: 's', method: 'POST', path: '/' };
  return { request: { ...identity, sharedPromptParts: [], headers: [], body } as never };
}

test('the body of an interrupted request is not held until its backend has exited', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 9 }));
  const body = interruptRequest(world);
  await collectGarbage();
  t.is(body.deref(), undefined);
});

/** Records the end of a request; returns a reference to its body. */
function recordEnd(metrics: GatewayMetrics): WeakRef<Buffer> {
  const body = Buffer.alloc(BODY_BYTES, 'x');
  const request = { route: routeOf({}), service: 's', body };
  metrics.recordEnd(request, END);
  return new WeakRef(body);
}

test('the body of an ended request is not held until the metrics library is loaded', async (t) => {
  const metrics = new GatewayMetrics();
  const body = recordEnd(metrics);
  await collectGarbage();
  t.is(body.deref(), undefined);
});
