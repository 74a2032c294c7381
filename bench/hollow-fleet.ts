/** One entry or one agent with hollow peers: the real core and the real framing, peers that only answer. */
import { AgentCore } from '../src/agent/agent-core.js';
import type { AgentEvent } from '../src/agent/agent-events.js';
import { EntryCore } from '../src/entry/entry-core.js';
import type { EntryEffect, EntryEvent } from '../src/entry/entry-events.js';
import type { Machine } from '../src/membership/machine.js';
import { DEFAULT_AGENT_OPTIONS, DEFAULT_ENTRY_OPTIONS } from '../src/options.js';
import type { PolicyDocument, PolicyEntry } from '../src/policy/document.js';
import { FrameDecoder, FrameEncoder } from '../src/protocol/framing.js';
import type { Message } from '../src/protocol/messages.js';
import { SeededRandom } from '../src/random.js';

/** Length of the body of each request, in characters. */
export const BODY_LENGTH = 2_000;

/** Bytes and messages by kind. */
export type Traffic = Map<string, { messages: number; bytes: number }>;

/** A policy with `engineCount` engines in `placeCount` places, one model, and `tenantCount` tenants. */
export function createLargePolicy(
  engineCount: number,
  placeCount: number,
  tenantCount: number,
): PolicyDocument {
  const document: Record<string, PolicyEntry> = {
    'label.class': { kind: 'label', values: ['open'] },
    'model.m': { kind: 'model', labels: {}, repeatable: true },
  };
  for (let index = 0; index < placeCount; index += 1) {
    document[`place.p${index}`] = { kind: 'place', labels: {} };
  }
  for (let index = 0; index < engineCount; index += 1) {
    const place = `p${index % placeCount}`;
    document[`engine.e${index}`] = { kind: 'engine', place, models: ['m'], labels: {} };
  }
  for (let index = 0; index < tenantCount; index += 1) {
    const limits = { keys: [], weight: 1, maxConcurrent: 1_000_000 };
    document[`tenant.t${index}`] = { kind: 'tenant', labels: {}, ...limits };
  }
  document['selector.all'] = {
    kind: 'selector',
    effect: 'allow',
    priority: 0,
    tier: 1,
    tenant: {},
    model: {},
    data: { class: ['open'] },
    engine: {},
    place: {},
  };
  return document;
}

/** An entry with hollow agents: each calls every bid at once and answers every bind in `chunkCount` chunks. */
export class HollowEntry {
  readonly core: EntryCore;
  readonly traffic: Traffic = new Map();
  answeredCount = 0;
  private readonly streams = new Map<string, { encoder: FrameEncoder; decoder: FrameDecoder }>();
  private readonly replies = new Map<string, { encoder: FrameEncoder; decoder: FrameDecoder }>();
  private nowMs = 0;
  private sequence = 0;

  constructor(
    agentCount: number,
    private readonly chunkCount: number,
    private readonly givesPermits = false,
  ) {
    this.core = new EntryCore({
      identity: { name: 'entry', incarnation: 'entry.1', region: 'r', zone: 'z', place: 'p0' },
      options: { ...DEFAULT_ENTRY_OPTIONS, agentsPerPool: agentCount },
      random: new SeededRandom(1),
    });
    const document = createLargePolicy(agentCount, 1, 290);
    this.handle({
      kind: 'policy',
      update: { form: 'full', generation: 1, document, recent: [] },
    });
    this.handle({ kind: 'fleet', machines: createMachines(agentCount) });
  }

  /** Takes one request from arrival to the end of its answer. */
  serveRequest(): void {
    this.sequence += 1;
    this.nowMs += 1;
    this.handle({
      kind: 'request-arrived',
      request: {
        id: `entry.1:${this.sequence}`,
        tenant: `t${this.sequence % 290}`,
        model: 'm',
        dataLabels: { class: 'open' },
        deadlineInMs: 60_000,
        promptTokens: 500,
        maxOutputTokens: 250,
        prefixHash: `${this.sequence % 50}`,
        isRepeatable: true,
        payload: { method: 'POST', path: '/', contentType: 'x', body: 'b'.repeat(BODY_LENGTH) },
      },
    });
  }

  /** Adds a waiting request that no agent calls. */
  addWaiting(): void {
    this.isSilent = true;
    this.serveRequest();
    this.isSilent = false;
  }

  /** Passes `durationMs` of idle time in ticks of `tickMs`. */
  idle(durationMs: number, tickMs: number): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += tickMs) {
      this.nowMs += tickMs;
      this.handle({ kind: 'tick' });
    }
  }

  private isSilent = false;

  private handle(event: EntryEvent): void {
    const outbox = new Map<string, Message[]>();
    for (const effect of this.core.handle(event, this.nowMs)) {
      this.perform(effect, outbox);
    }
    for (const [peer, messages] of outbox) {
      const bytes = this.streamOf(this.streams, peer).encoder.encode({ generation: 1, messages });
      countTraffic(this.traffic, messages, bytes.length);
      this.answerAs(peer, messages);
    }
  }

  private perform(effect: EntryEffect, outbox: Map<string, Message[]>): void {
    if (effect.kind === 'send') {
      outbox.set(effect.peer, [...(outbox.get(effect.peer) ?? []), effect.message]);
    } else if (effect.kind === 'connect') {
      this.greet(effect.peer, effect.connectionNumber);
    } else if (effect.kind === 'answer-end') {
      this.answeredCount += 1;
    }
  }

  private greet(peer: string, connectionNumber: number): void {
    const hello = {
      kind: 'hello',
      version: 1,
      role: 'agent',
      name: peer,
      incarnation: `${peer}.1`,
      zone: 'z',
      connectionNumber,
    } as const;
    this.handle({ kind: 'peer-connected', peer, connectionNumber, hello });
  }

  private answerAs(peer: string, messages: readonly Message[]): void {
    const answers: Message[] = [];
    for (const message of messages) {
      if (message.kind === 'bid' && !this.isSilent) {
        answers.push({ kind: 'call', id: message.id });
      } else if (message.kind === 'bind') {
        answers.push(...this.createAnswer(message.id));
      } else if (message.kind === 'ping') {
        answers.push({ kind: 'ping' });
      }
    }
    for (const answer of answers) {
      this.receive(peer, answer);
    }
  }

  private receive(peer: string, message: Message): void {
    const stream = this.streamOf(this.replies, peer);
    const bytes = stream.encoder.encode({ generation: 1, messages: [message] });
    countTraffic(this.traffic, [message], bytes.length);
    const connectionNumber = this.core.state.peers.get(peer)?.connectionNumber ?? 0;
    for (const frame of stream.decoder.push(bytes).unwrap()) {
      this.handle({ kind: 'frame', peer, connectionNumber, frame });
    }
  }

  private createAnswer(id: string): Message[] {
    const { chunkCount } = this;
    const chunks = Array.from({ length: chunkCount }, (_, index) => ({
      kind: 'answer-chunk' as const,
      id,
      index,
      data: 'c'.repeat(64),
    }));
    return [
      { kind: 'answer-start', id, status: 200, contentType: 'text/event-stream' },
      ...chunks,
      {
        kind: 'answer-end',
        id,
        chunkCount,
        promptTokens: 500,
        cachedPromptTokens: 0,
        outputTokens: 250,
        prefillMs: 100,
        decodeMs: 1_000,
      },
      ...(this.givesPermits ? [{ kind: 'permit' as const, validForMs: 4_000 }] : []),
    ];
  }

  private streamOf(
    streams: Map<string, { encoder: FrameEncoder; decoder: FrameDecoder }>,
    peer: string,
  ): { encoder: FrameEncoder; decoder: FrameDecoder } {
    const stream = streams.get(peer) ?? {
      encoder: new FrameEncoder(),
      decoder: new FrameDecoder(),
    };
    streams.set(peer, stream);
    return stream;
  }
}

/** An agent with hollow entries and a null engine that answers at once. */
export class HollowAgent {
  readonly core: AgentCore;
  private nowMs = 0;
  private sequence = 0;

  constructor(
    private readonly entryCount: number,
    private readonly chunkCount: number,
  ) {
    this.core = new AgentCore({
      identity: { name: 'e0', incarnation: 'e0.1', region: 'r', zone: 'z', place: 'p0' },
      options: DEFAULT_AGENT_OPTIONS,
    });
    const document = createLargePolicy(1, 1, 290);
    this.handle({ kind: 'policy', update: { form: 'full', generation: 1, document, recent: [] } });
    for (let index = 0; index < entryCount; index += 1) {
      const name = `entry${index}`;
      const hello = { version: 1, role: 'entry', zone: 'z', connectionNumber: 1 } as const;
      this.handle({
        kind: 'peer-connected',
        hello: { kind: 'hello', name, incarnation: `${name}.1`, ...hello },
      });
    }
  }

  /** Takes one bid, calls it, starts it and passes its answer on. */
  serveRequest(): void {
    this.sequence += 1;
    this.nowMs += 1;
    const peer = `entry${this.sequence % this.entryCount}.1`;
    const id = `${peer}:${this.sequence}`;
    const shape = {
      id,
      tenant: `t${this.sequence % 290}`,
      model: 'm',
      dataLabels: { class: 'open' },
      tier: 1,
      deadlineInMs: 60_000,
      promptTokens: 500,
      maxOutputTokens: 250,
    };
    this.receive(peer, { kind: 'bid', ...shape, isUrgent: false });
    this.receive(peer, {
      kind: 'bind',
      ...shape,
      prefixHash: '',
      isRepeatable: true,
      isByPermit: false,
      generation: 1,
      payload: { method: 'POST', path: '/', contentType: 'x', body: 'b'.repeat(BODY_LENGTH) },
    });
    this.handle({ kind: 'engine-started', id, status: 200, contentType: 'x' });
    for (let index = 0; index < this.chunkCount; index += 1) {
      this.handle({ kind: 'engine-chunk', id, data: 'c'.repeat(64) });
    }
    const usage = { promptTokens: 500, cachedPromptTokens: 0, outputTokens: 250 };
    this.handle({ kind: 'engine-ended', id, usage: { ...usage, prefillMs: 1, decodeMs: 1 } });
    this.receive(peer, { kind: 'acknowledge', id });
  }

  private readonly encoder = new FrameEncoder();
  private readonly decoder = new FrameDecoder();
  private readonly replyEncoder = new FrameEncoder();

  private receive(peer: string, message: Message): void {
    const bytes = this.encoder.encode({ generation: 1, messages: [message] });
    for (const frame of this.decoder.push(bytes).unwrap()) {
      this.handle({ kind: 'frame', peer, connectionNumber: 1, frame });
    }
  }

  private handle(event: AgentEvent): void {
    const messages = this.core
      .handle(event, this.nowMs)
      .flatMap((effect) => (effect.kind === 'send' ? [effect.message] : []));
    if (messages.length > 0) {
      this.replyEncoder.encode({ generation: 1, messages });
    }
  }
}

function createMachines(count: number): Machine[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `e${index}`,
    role: 'agent',
    region: 'r',
    zone: 'z',
    place: 'p0',
    address: 'a',
    port: 1,
    state: 'live',
  }));
}

/** Bytes of a frame are shared among its messages by their number. */
function countTraffic(traffic: Traffic, messages: readonly Message[], bytes: number): void {
  for (const { kind } of messages) {
    const known = traffic.get(kind) ?? { messages: 0, bytes: 0 };
    known.messages += 1;
    known.bytes += bytes / messages.length;
    traffic.set(kind, known);
  }
}
