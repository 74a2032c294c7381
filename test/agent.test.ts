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

test('an agent refuses a late bind of a request that it reported as never received', (t) => {
  const core = createAgent();
  const id = `${PEER}:7`;
  t.deepEqual(kinds(send(core, { kind: 'resume-answer', id, fromChunk: 0 })), ['bind-refused']);
  const late = send(core, bind(7, 1));
  t.deepEqual(kinds(late), ['bind-refused']);
});

test('an agent that dropped the record of a request reports that it may have run', (t) => {
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

test('a duplicate bind starts the request on the engine once', (t) => {
  const core = createAgent({ capacity: 4 });
  t.deepEqual(kinds(send(core, bind(1, 1))), ['engine-start']);
  t.deepEqual(kinds(send(core, bind(1, 1))), []);
});

test('an agent ignores messages from an earlier connection or about a request of another entry', (t) => {
  const core = createAgent();
  connect(core, 2);
  t.deepEqual(send(core, bind(1, 1), 1, 1), []);
  const foreign = { ...bind(1, 1), id: 'other.1:1' };
  t.deepEqual(kinds(send(core, foreign, 1, 2)), []);
});

test('a bind under a permit is refused at a full engine and preempts no lower tier', (t) => {
  const core = createAgent();
  send(core, bind(1, 3));
  t.deepEqual(kinds(send(core, bind(2, 1, true))), ['bind-refused']);
  t.deepEqual(kinds(send(core, bind(3, 1))), ['engine-pause', 'engine-start']);
});

test('an urgent bid of a higher tier is called at once and its bind preempts a lower tier', (t) => {
  const core = createAgent();
  send(core, bind(1, 3));
  t.deepEqual(kinds(send(core, bid(2, 1))), []);
  t.true(kinds(send(core, bid(2, 1, true))).includes('call'));
  t.deepEqual(kinds(send(core, bind(2, 1))), ['engine-pause', 'engine-start']);
});

test('a leaving agent refuses bids and binds, and exits after all acknowledgements', (t) => {
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

test('a machine list that still shows the previous process as leaving is ignored', (t) => {
  const core = createAgent();
  t.deepEqual(kinds(core.handle({ kind: 'fleet', ownState: 'leaving' }, 1)), []);
  core.handle({ kind: 'fleet', ownState: 'live' }, 2);
  t.deepEqual(kinds(core.handle({ kind: 'fleet', ownState: 'leaving' }, 3)), ['leaving']);
});

test('a bind that arrived while the process was paused is refused, a later one is not', (t) => {
  const core = createAgent();
  core.handle({ kind: 'tick' }, 100);
  t.deepEqual(kinds(send(core, bind(1, 1), 30_000)), ['bind-refused']);
  core.handle({ kind: 'tick' }, 30_050);
  t.deepEqual(kinds(send(core, bind(2, 1), 30_300)), ['engine-start']);
});

test('an idle agent that is leaving refuses a bind in transit before it leaves', (t) => {
  const core = createAgent();
  t.deepEqual(kinds(core.handle({ kind: 'leave' }, 2)), ['leaving']);
  t.deepEqual(kinds(send(core, bind(1, 1))), ['bind-refused']);
  t.deepEqual(kinds(send(core, { kind: 'leaving-acknowledged' })), ['left']);
});
