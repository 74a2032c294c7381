import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import { fingerprintOf } from '../src/gateway/crashes/request-fingerprint.js';
import type { FingerprintedRequest } from '../src/gateway/crashes/request-fingerprint.js';
import { DEFAULT_ENGINE_HEALTH_OPTIONS, EngineHealth } from '../src/slot-agent/engine-health.js';
import { routeOf } from './support/gateway-harness.js';

const REQUEST: FingerprintedRequest = {
  tenant: headerValue('shop'),
  method: 'POST',
  route: routeOf(),
  path: '/a/x?y=1',
  body: Buffer.from('the body'),
};

test('a retried request has the same fingerprint', (t) => {
  const again = { ...REQUEST, body: Buffer.from('the body'), route: routeOf({ timeoutMs: 7 }) };
  t.is(fingerprintOf(again), fingerprintOf(REQUEST));
});

test('a different caller, method, host, path or body changes the fingerprint', (t) => {
  const others: FingerprintedRequest[] = [
    REQUEST,
    { ...REQUEST, tenant: headerValue('other') },
    { ...REQUEST, tenant: undefined },
    { ...REQUEST, method: 'PUT' },
    { ...REQUEST, route: routeOf({ host: 'b.example' }) },
    { ...REQUEST, path: '/a/x' },
    { ...REQUEST, body: Buffer.from('the bodY') },
    { ...REQUEST, path: '/a/x?y=1\nthe body', body: Buffer.alloc(0) },
  ];
  t.is(new Set(others.map(fingerprintOf)).size, others.length);
});

test('an agent reports why its engine is closed: it exited, is unresponsive, or fails every request', (t) => {
  const ended = new EngineHealth();
  ended.applyProbeResult({ kind: 'closed' }, 0);
  t.is(ended.closedCause, 'port-closed');
  ended.applyProbeResult({ kind: 'load', requests: 0 }, 10);
  t.is(ended.closedCause, undefined);
  const silent = new EngineHealth();
  silent.applyProbeResult({ kind: 'silent' }, 0);
  silent.applyProbeResult({ kind: 'silent' }, 10);
  t.is(silent.closedCause, 'silent');
  const failing = new EngineHealth();
  for (
    let failure = 0;
    failure < DEFAULT_ENGINE_HEALTH_OPTIONS.maxConsecutiveFailures;
    failure += 1
  ) {
    failing.noteFailure(0);
  }
  t.is(failing.closedCause, 'failing');
});
