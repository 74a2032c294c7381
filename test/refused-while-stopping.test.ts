import test from 'ava';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { GatewayRequests } from '../src/gateway/gateway-requests.js';
import type { GatewayRequestsDependencies } from '../src/gateway/gateway-requests.js';
import { PLAIN_PROTOCOL, RecordedReply } from './support/gateway-harness.js';

/** Returns the requests of a gateway that refuses all of them, and how often one was reported ended. */
function stoppingGateway(isRefusing = true) {
  const ended = { count: 0, lines: [] as Array<Record<string, unknown>> };
  const dependencies = {
    adapter: { protocol: PLAIN_PROTOCOL },
    limits: { retryRatio: 1, retryWindowS: 10, retrySlack: 10 },
    configuration: { version: 1, table: undefined },
    cluster: { position: {}, storeAgeMs: 0, isKnowledgeOld: false, size: 1 },
    clock: SYSTEM_CLOCK,
    log: {
      write: (_event: string, _level: string, fields: Record<string, unknown>) =>
        ended.lines.push(fields),
    },
    metrics: { record: () => undefined },
    isRefusing: () => isRefusing,
    onEnd: () => (ended.count += 1),
  } as unknown as GatewayRequestsDependencies;
  return { requests: new GatewayRequests(dependencies), ended };
}

const HEAD = { method: 'GET', path: '/', host: 'a', rawHeaders: [], headers: {} };

test('a stop does not wait for a request that was refused once it was read', (t) => {
  const { requests, ended } = stoppingGateway();
  const reply = new RecordedReply();
  requests.receive(HEAD, reply).onBody(Buffer.alloc(0));
  t.is(reply.status, 503);
  t.is(ended.count, 1);
});

test('a request that follows the announced close of its connection is refused as not run', (t) => {
  const { requests } = stoppingGateway(false);
  const reply = new RecordedReply();
  requests.receive({ ...HEAD, followsClose: true }, reply).onBody(Buffer.alloc(0));
  t.deepEqual([reply.status, reply.body], [503, '{"error":"stopping"}']);
});

test('a stop does not wait for a request whose caller left before it was admitted, which is logged', (t) => {
  const { requests, ended } = stoppingGateway();
  requests.receive(HEAD, new RecordedReply()).onCallerDisconnected();
  t.is(ended.count, 1);
  t.is(ended.lines[0]?.['reason'], 'caller-left');
});
