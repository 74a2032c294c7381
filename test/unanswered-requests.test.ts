import { execFileSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { backendOf, routeOf } from './support/gateway-harness.js';
import { OpenGateway } from './support/open-gateway.js';

const STREAM = routeOf({ kind: 'stream', isResumable: true, timeoutMs: 8_000 });
const OK_HEAD = { status: 200, rawHeaders: [], headers: {} };
const EVENT = 'id: 1\ndata: a\n\n';

test('a caller that leaves while the configuration is confirmed is logged and counted once', async (t) => {
  const gateway = new OpenGateway([backendOf('a')]);
  gateway.isKnowledgeOld = true;
  const caller = gateway.receive('/elsewhere/');
  await gateway.clock.runUntil(200);
  caller.leave();
  caller.leave();
  t.like(gateway.unanswered, [
    { reason: 'caller-left', stage: 'confirming', endedBy: 'caller', totalMs: 200 },
  ]);
  t.deepEqual(gateway.counted, [{ cause: 'caller-left', stage: 'confirming' }]);
});

test('a caller that leaves while its request is charged is logged with the stage', (t) => {
  const gateway = new OpenGateway([backendOf('a')]);
  gateway.chargeOnce = () => undefined;
  gateway.receive().leave();
  t.like(gateway.unanswered, [{ stage: 'charging', endedBy: 'caller', route: 'r' }]);
});

test('a caller that leaves before its request was read whole is not counted', (t) => {
  const gateway = new OpenGateway([backendOf('a')]);
  gateway.receiveHead().handlers.onCallerDisconnected();
  t.like(gateway.unanswered, [{ stage: 'receiving', endedBy: 'caller' }]);
  t.deepEqual(gateway.counted, []);
});

test('a stream that its backend breaks off is logged with its stage and a recent configuration', async (t) => {
  const gateway = new OpenGateway([backendOf('a')], { ...STREAM, maxAttempts: 1 });
  const caller = gateway.receive();
  const { handlers } = gateway.attempts[0]!;
  handlers.onHead(OK_HEAD);
  handlers.onData(Buffer.from(EVENT));
  await gateway.clock.runUntil(300);
  handlers.onFailure({ mayHaveRun: true, isPortClosed: false, detail: 'reset' });
  t.true(caller.reply.isAborted);
  caller.leave();
  t.like(gateway.unanswered, [
    { reason: 'backend-failed', stage: 'streaming', endedBy: 'backend', configurationAgeMs: 300 },
  ]);
  t.deepEqual(gateway.counted, [{ cause: 'backend-failed', stage: 'streaming' }]);
});

test('a caller that leaves before it has the whole of a complete response is logged', (t) => {
  const gateway = new OpenGateway([backendOf('a')]);
  const caller = gateway.receive();
  gateway.answer(0, 200, 'done');
  caller.leave();
  t.deepEqual(gateway.unanswered, []);
  t.like(gateway.log.fieldsOf('response-unfinished'), [{ stage: 'flushing', endedBy: 'caller' }]);
  t.deepEqual(gateway.counted, [{ cause: 'caller-left', stage: 'flushing' }]);
});

test('a request is refused at its deadline while the configuration is confirmed', async (t) => {
  const gateway = new OpenGateway([backendOf('a')]);
  gateway.isKnowledgeOld = true;
  const { reply } = gateway.receive('/elsewhere/', { 'deadline-ms': '200' });
  await gateway.clock.runUntil(1_000);
  t.deepEqual([reply.status, reply.endedAtMs], [503, 200]);
});

test('a request is refused at its deadline while its quota is charged, and is not sent later', async (t) => {
  const gateway = new OpenGateway([backendOf('a')]);
  let grant: (() => void) | undefined;
  gateway.chargeOnce = (onResult) =>
    (grant = () => onResult({ isGranted: true, giveBack: () => undefined }));
  const { reply } = gateway.receive('/a/', { 'deadline-ms': '200' });
  await gateway.clock.runUntil(300);
  t.deepEqual([reply.status, reply.endedAtMs], [503, 200]);
  grant!();
  t.is(gateway.attempts.length, 0);
});

test('a request is refused at its deadline while the origin of its stream is looked up', async (t) => {
  const gateway = new OpenGateway([backendOf('a')], STREAM);
  const { reply } = gateway.receive('/a/', { 'deadline-ms': '200', 'last-event': '1' });
  await gateway.clock.runUntil(300);
  t.deepEqual([reply.status, reply.endedAtMs], [503, 200]);
  t.is(gateway.requests.activeCount, 0);
});

test('requests that are open at the end of the process are logged, each at its stage', (t) => {
  const gateway = new OpenGateway([backendOf('a', { slots: 1 })], routeOf({ kind: 'unsafe' }));
  gateway.receive();
  gateway.receive();
  gateway.chargeOnce = () => undefined;
  gateway.receive();
  gateway.requests.reportProcessEnd();
  t.like(gateway.unanswered, [
    { reason: 'process-end', stage: 'sent', endedBy: 'gateway' },
    { reason: 'process-end', stage: 'waiting', endedBy: 'gateway' },
    { reason: 'process-end', stage: 'charging', endedBy: 'gateway' },
  ]);
});

test('responses that are unflushed at the end of the process are logged and counted', async (t) => {
  const gateway = new OpenGateway([backendOf('a')]);
  const flushed = gateway.receive();
  gateway.answer(0, 200, 'done');
  flushed.handlers.onFlushed?.();
  gateway.receive();
  gateway.answer(1, 200, 'done');
  gateway.receive('/elsewhere/');
  await gateway.clock.runUntil(300);
  gateway.requests.reportProcessEnd();
  gateway.requests.reportProcessEnd();
  const unfinished = { stage: 'flushing', endedBy: 'gateway', ageMs: 300 };
  t.like(gateway.log.fieldsOf('response-unfinished'), [unfinished, unfinished]);
  t.is(gateway.log.fieldsOf('response-unfinished').length, 2);
  t.deepEqual(gateway.counted, Array(2).fill({ cause: 'process-end', stage: 'flushing' }));
});

test('answered and refused requests are not counted as unanswered', (t) => {
  const gateway = new OpenGateway([backendOf('a')]);
  const answered = gateway.receive();
  gateway.answer(0, 200, 'done');
  answered.handlers.onFlushed?.();
  const refused = gateway.receive('/elsewhere/');
  t.is(refused.reply.status, 404);
  refused.handlers.onFlushed?.();
  gateway.requests.reportProcessEnd();
  t.deepEqual([gateway.unanswered, gateway.counted], [[], []]);
});

test('logs explain names the stage of a request without a response and who ended it', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  const line = {
    name: 'weirvaled',
    process: 'edge-1',
    event: 'request-ended',
    request: 'q-1',
    status: 0,
    reason: 'process-end',
    stage: 'waiting',
    endedBy: 'gateway',
    configurationAgeMs: 40,
    time: '2026-01-01T00:00:02.000Z',
  };
  const unfinished = { ...line, event: 'response-unfinished', stage: 'flushing', ageMs: 70 };
  const left = { ...unfinished, endedBy: 'caller', ageMs: 50 };
  writeFileSync(file, [line, unfinished, left].map((fields) => JSON.stringify(fields)).join('\n'));
  const text = execFileSync('node', ['dist/src/bin/weirvale.js', 'logs', 'explain', 'q-1', file], {
    encoding: 'utf8',
  });
  t.regex(text, /this process ended before the response was complete/);
  t.regex(text, /ended by the gateway at the stage waiting, 40 ms after a configuration/);
  t.regex(text, /this process ended 70 ms after the request arrived, before its caller had the/);
  t.regex(text, /ended by the gateway at the stage flushing/);
  t.regex(text, /the caller disconnected 50 ms after its request arrived, before it had the/);
  t.regex(text, /ended by the caller at the stage flushing/);
});
