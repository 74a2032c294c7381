import test from 'ava';
import { AgentCore } from '../src/agent/agent-core.js';
import type { AgentEffect } from '../src/agent/agent-events.js';
import { DEFAULT_AGENT_OPTIONS } from '../src/options.js';
import type { BindMessage, Message } from '../src/protocol/messages.js';
import { smallPolicy } from './support/policy.js';

const PEER = 'entry.1';

function createAgent(options: Partial<typeof DEFAULT_AGENT_OPTIONS> = {}): AgentCore {
  const core = new AgentCore({
    identity: { name: 'a-1', incarnation: 'a-1.1', region: 'r', zone: 'z', place: 'hall-a' },
    options: { ...DEFAULT_AGENT_OPTIONS, capacity: 1, ...options },
  });
  const update = { form: 'full' as const, generation: 1, document: smallPolicy(), recent: [] };
  core.handle({ kind: 'policy', update }, 0);
  connect(core, 1);
  return core;
}

function connect(core: AgentCore, connectionNumber: number): void {
  const hello = { version: 1, role: 'entry', name: 'entry', incarnation: PEER, zone: 'z' } as const;
  core.handle({ kind: 'peer-connected', hello: { kind: 'hello', ...hello, connectionNumber } }, 0);
}

function send(core: AgentCore, message: Message, nowMs = 1, connectionNumber = 1): AgentEffect[] {
  const frame = { generation: 1, messages: [message] };
  return core.handle({ kind: 'frame', peer: PEER, connectionNumber, frame }, nowMs);
}

function bind(sequence: number, tier: number, isByPermit = false): BindMessage {
  return {
    kind: 'bind',
    id: `${PEER}:${sequence}`,
    tenant: 'shop',
    model: 'risk',
    dataLabels: { class: 'invoice' },
    tier,
    deadlineInMs: 10_000,
    promptTokens: 100,
    maxOutputTokens: 10,
    prefixHash: '',
    isRepeatable: true,
    isByPermit,
    payload: { method: 'POST', path: '/', contentType: 'x', body: '' },
    generation: 1,
  };
}

function bid(sequence: number, tier: number, isUrgent = false): Message {
  const { id, tenant, model, dataLabels, deadlineInMs, promptTokens, maxOutputTokens } = bind(
    sequence,
    tier,
  );
  return {
    kind: 'bid',
    id,
    tenant,
    model,
    dataLabels,
    tier,
    deadlineInMs,
    promptTokens,
    maxOutputTokens,
    isUrgent,
  };
}

function kinds(effects: readonly AgentEffect[]): string[] {
  return effects
    .filter((effect) => effect.kind !== 'measure' && effect.kind !== 'decision')
    .map((effect) => (effect.kind === 'send' ? effect.message.kind : effect.kind));
}

test('a request that was never received is refused for good, also when its bind comes late', (t) => {
  const core = createAgent();
  const id = `${PEER}:7`;
  t.deepEqual(kinds(send(core, { kind: 'resume-answer', id, fromChunk: 0 })), ['bind-refused']);
  const late = send(core, bind(7, 1));
  t.deepEqual(kinds(late), ['bind-refused']);
});

test('a request whose record was dropped is told as unknown, not as never started', (t) => {
  const core = createAgent();
  send(core, bind(1, 1));
  const usage = { promptTokens: 1, cachedPromptTokens: 0, outputTokens: 1 };
  core.handle(
    { kind: 'engine-ended', id: `${PEER}:1`, usage: { ...usage, prefillMs: 1, decodeMs: 1 } },
    2,
  );
  core.handle({ kind: 'tick' }, 2 + DEFAULT_AGENT_OPTIONS.answerRetentionMs);
  connect(core, 2);
  const nowMs = 3 + DEFAULT_AGENT_OPTIONS.answerRetentionMs;
  const resumed = send(core, { kind: 'resume-answer', id: `${PEER}:1`, fromChunk: 0 }, nowMs, 2);
  t.deepEqual(kinds(resumed), ['answer-failed']);
});

test('a bind that comes twice starts the engine once', (t) => {
  const core = createAgent({ capacity: 4 });
  t.deepEqual(kinds(send(core, bind(1, 1))), ['engine-start']);
  t.deepEqual(kinds(send(core, bind(1, 1))), []);
});

test('messages of an older connection and about another entry are dropped', (t) => {
  const core = createAgent();
  connect(core, 2);
  t.deepEqual(send(core, bind(1, 1), 1, 1), []);
  const foreign = { ...bind(1, 1), id: 'other.1:1' };
  t.deepEqual(kinds(send(core, foreign, 1, 2)), []);
});

test('a permit gives no right to a full engine nor to pass a higher tier', (t) => {
  const core = createAgent();
  send(core, bind(1, 3));
  t.deepEqual(kinds(send(core, bind(2, 1, true))), ['bind-refused']);
  t.deepEqual(kinds(send(core, bind(3, 1))), ['engine-pause', 'engine-start']);
});

test('an urgent bid of a higher tier is called at once; the lower tier makes room at its bind', (t) => {
  const core = createAgent();
  send(core, bind(1, 3));
  t.deepEqual(kinds(send(core, bid(2, 1))), []);
  t.true(kinds(send(core, bid(2, 1, true))).includes('call'));
  t.deepEqual(kinds(send(core, bind(2, 1))), ['engine-pause', 'engine-start']);
});

test('a leaving agent calls nothing, refuses binds and leaves once all is acknowledged', (t) => {
  const core = createAgent();
  send(core, bind(1, 1));
  t.deepEqual(kinds(core.handle({ kind: 'leave' }, 2)), ['leaving']);
  t.deepEqual(kinds(send(core, bid(2, 1))), ['bid-refused']);
  t.deepEqual(kinds(send(core, bind(3, 1))), ['bind-refused']);
  const usage = { promptTokens: 1, cachedPromptTokens: 0, outputTokens: 1 };
  const ended = core.handle(
    { kind: 'engine-ended', id: `${PEER}:1`, usage: { ...usage, prefillMs: 1, decodeMs: 1 } },
    3,
  );
  t.deepEqual(kinds(ended), ['answer-end']);
  t.deepEqual(kinds(send(core, { kind: 'acknowledge', id: `${PEER}:1` })), []);
  t.deepEqual(kinds(send(core, { kind: 'leaving-acknowledged' })), ['left']);
});

test('a list that lags does not make a replaced process leave', (t) => {
  const core = createAgent();
  t.deepEqual(kinds(core.handle({ kind: 'fleet', ownState: 'leaving' }, 1)), []);
  core.handle({ kind: 'fleet', ownState: 'live' }, 2);
  t.deepEqual(kinds(core.handle({ kind: 'fleet', ownState: 'leaving' }, 3)), ['leaving']);
});

test('a bind that waited while the process was paused is refused, a later one is not', (t) => {
  const core = createAgent();
  core.handle({ kind: 'tick' }, 100);
  t.deepEqual(kinds(send(core, bind(1, 1), 30_000)), ['bind-refused']);
  core.handle({ kind: 'tick' }, 30_050);
  t.deepEqual(kinds(send(core, bind(2, 1), 30_300)), ['engine-start']);
});

test('an idle agent that leaves still refuses a bind that was under way', (t) => {
  const core = createAgent();
  t.deepEqual(kinds(core.handle({ kind: 'leave' }, 2)), ['leaving']);
  t.deepEqual(kinds(send(core, bind(1, 1))), ['bind-refused']);
  t.deepEqual(kinds(send(core, { kind: 'leaving-acknowledged' })), ['left']);
});
