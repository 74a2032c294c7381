/** Drives one entry or one agent, with the real core and framing, against simulated peers. */
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
export const REQUEST_BODY_LENGTH = 2_000;

/** Number of messages and bytes, by message kind. */
export type Traffic = Map<string, { messages: number; bytes: number }>;

/** Creates a policy with one model and the given numbers of engines, places and tenants. */
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

/**
 * An entry with simulated agents, each of which calls every bid at once and responds to every bind
 * in `chunkCount` chunks.
 */
export class EntryHarness {
  readonly core: EntryCore;
  readonly traffic: Traffic = new Map();
  completedCount = 0;
  private readonly outboundStreams = new Map<
    string,
    { encoder: FrameEncoder; decoder: FrameDecoder }
  >();
  private readonly inboundStreams = new Map<
    string,
    { encoder: FrameEncoder; decoder: FrameDecoder }
  >();
  private nowMs = 0;
  private sequence = 0;

  constructor(
    agentCount: number,
    private readonly chunkCount: number,
    private readonly issuesPermits = false,
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

  /** Runs one request from arrival to the end of its response. */
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
        payload: {
          method: 'POST',
          path: '/',
          contentType: 'x',
          body: 'b'.repeat(REQUEST_BODY_LENGTH),
        },
      },
    });
  }

  /** Adds a request that keeps waiting, since no agent calls its bids. */
  addWaitingRequest(): void {
    this.ignoresBids = true;
    this.serveRequest();
    this.ignoresBids = false;
  }

  /** Advances the clock by `durationMs` without requests, in ticks of `tickMs`. */
  idle(durationMs: number, tickMs: number): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += tickMs) {
      this.nowMs += tickMs;
      this.handle({ kind: 'tick' });
    }
  }

  private ignoresBids = false;

  private handle(event: EntryEvent): void {
    const outbox = new Map<string, Message[]>();
    for (const effect of this.core.handle(event, this.nowMs)) {
      this.applyEffect(effect, outbox);
    }
    for (const [peer, messages] of outbox) {
      const bytes = this.getOrCreateStream(this.outboundStreams, peer).encoder.encode({
        generation: 1,
        messages,
      });
      countTraffic(this.traffic, messages, bytes.length);
      this.respondAs(peer, messages);
    }
  }

  private applyEffect(effect: EntryEffect, outbox: Map<string, Message[]>): void {
    if (effect.kind === 'send') {
      outbox.set(effect.peer, [...(outbox.get(effect.peer) ?? []), effect.message]);
    } else if (effect.kind === 'connect') {
      this.connectAgent(effect.peer, effect.connectionNumber);
    } else if (effect.kind === 'answer-end') {
      this.completedCount += 1;
    }
  }

  private connectAgent(peer: string, connectionNumber: number): void {
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

  private respondAs(peer: string, messages: readonly Message[]): void {
    const responses: Message[] = [];
    for (const message of messages) {
      if (message.kind === 'bid' && !this.ignoresBids) {
        responses.push({ kind: 'call', id: message.id });
      } else if (message.kind === 'bind') {
        responses.push(...this.createResponse(message.id));
      } else if (message.kind === 'ping') {
        responses.push({ kind: 'ping' });
      }
    }
    for (const response of responses) {
      this.deliver(peer, response);
    }
  }

  private deliver(peer: string, message: Message): void {
    const stream = this.getOrCreateStream(this.inboundStreams, peer);
    const bytes = stream.encoder.encode({ generation: 1, messages: [message] });
    countTraffic(this.traffic, [message], bytes.length);
    const connectionNumber = this.core.state.peers.get(peer)?.connectionNumber ?? 0;
    for (const frame of stream.decoder.push(bytes).unwrap()) {
      this.handle({ kind: 'frame', peer, connectionNumber, frame });
    }
  }

  private createResponse(id: string): Message[] {
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
      ...(this.issuesPermits ? [{ kind: 'permit' as const, validForMs: 4_000 }] : []),
    ];
  }

  private getOrCreateStream(
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

/** An agent with simulated entries and an engine that responds at once. */
export class AgentHarness {
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

  /** Runs one request: its bid, its call, its bind and the relay of its response. */
  serveRequest(): void {
    this.sequence += 1;
    this.nowMs += 1;
    const peer = `entry${this.sequence % this.entryCount}.1`;
    const id = `${peer}:${this.sequence}`;
    const requestFields = {
      id,
      tenant: `t${this.sequence % 290}`,
      model: 'm',
      dataLabels: { class: 'open' },
      tier: 1,
      deadlineInMs: 60_000,
      promptTokens: 500,
      maxOutputTokens: 250,
    };
    this.deliver(peer, { kind: 'bid', ...requestFields, isUrgent: false });
    this.deliver(peer, {
      kind: 'bind',
      ...requestFields,
      prefixHash: '',
      isRepeatable: true,
      isByPermit: false,
      generation: 1,
      payload: {
        method: 'POST',
        path: '/',
        contentType: 'x',
        body: 'b'.repeat(REQUEST_BODY_LENGTH),
      },
    });
    this.handle({ kind: 'engine-started', id, status: 200, contentType: 'x' });
    for (let index = 0; index < this.chunkCount; index += 1) {
      this.handle({ kind: 'engine-chunk', id, data: 'c'.repeat(64) });
    }
    const usage = { promptTokens: 500, cachedPromptTokens: 0, outputTokens: 250 };
    this.handle({ kind: 'engine-ended', id, usage: { ...usage, prefillMs: 1, decodeMs: 1 } });
    this.deliver(peer, { kind: 'acknowledge', id });
  }

  private readonly encoder = new FrameEncoder();
  private readonly decoder = new FrameDecoder();
  private readonly replyEncoder = new FrameEncoder();

  private deliver(peer: string, message: Message): void {
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

/** Adds a frame to `traffic`, with its bytes divided equally among its messages. */
function countTraffic(traffic: Traffic, messages: readonly Message[], bytes: number): void {
  for (const { kind } of messages) {
    const totals = traffic.get(kind) ?? { messages: 0, bytes: 0 };
    totals.messages += 1;
    totals.bytes += bytes / messages.length;
    traffic.set(kind, totals);
  }
}
