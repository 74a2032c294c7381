/** One model check case: two entries and two agents that communicate through an explicit queue. */
import { AgentCore } from '../agent/agent-core.js';
import type { AgentEffect, AgentEvent } from '../agent/agent-events.js';
import { EntryCore } from '../entry/entry-core.js';
import type { EntryEffect, EntryEvent } from '../entry/entry-events.js';
import type { Machine } from '../membership/machine.js';
import { DEFAULT_AGENT_OPTIONS, DEFAULT_ENTRY_OPTIONS } from '../options.js';
import type { PolicyDocument } from '../policy/document.js';
import type { Message } from '../protocol/messages.js';
import { SeededRandom } from '../random.js';
import type { Refusal } from '../request/refusal.js';

/**
 * Names of the faults that a case can inject; `double-message` delivers one message twice, and
 * `leave-agent-0` starts a graceful shutdown.
 */
export type CaseFault =
  | 'none'
  | 'crash-entry-0'
  | 'crash-agent-0'
  | 'crash-agent-1'
  | 'break-connection-0-0'
  | 'break-connection-0-1'
  | 'double-message'
  | 'leave-agent-0';

/** All faults that the model check injects. */
export const CASE_FAULTS: readonly CaseFault[] = [
  'none',
  'crash-entry-0',
  'crash-agent-0',
  'crash-agent-1',
  'break-connection-0-0',
  'break-connection-0-1',
  'double-message',
  'leave-agent-0',
];

/**
 * One case: a fault injected before step `faultStep` (counted from 0), and a step `reorderedStep`
 * (counted from 1; 0 for none) that delivers the newest item that may overtake the others instead
 * of the oldest.
 */
export interface ModelCheckCase {
  readonly fault: CaseFault;
  readonly faultStep: number;
  readonly reorderedStep: number;
}

/** Result of one case. */
export interface ModelCheckResult {
  readonly violations: readonly string[];
  readonly stepCount: number;
}

/** Hooks with which a test injects defects, to verify that the model check detects them. */
export interface ModelCheckHooks {
  transformEntryEffects?(effects: EntryEffect[]): EntryEffect[];
}

interface PendingItem {
  readonly label: string;
  /**
   * Name of the ordered channel of the item; undefined for claims and their results, which may
   * overtake other items.
   */
  readonly channel: string | undefined;
  readonly deliver: () => void;
}

const IDEMPOTENCY_KEY = 'key';
const AGENTS = ['agent-0', 'agent-1'] as const;
const CHUNK_COUNT = 2;
const IDLE_STEP_MS = 100;
const MAX_TIME_MS = 40_000;

/** Executes one case, with every pending event and message in one explicit queue. */
export class ModelCheckRun {
  private nowMs = 0;
  private stepCount = 0;
  private readonly pending: PendingItem[] = [];
  private readonly entries: EntryCore[] = [];
  private readonly agents: AgentCore[] = [];
  /** Starts of the two entries, then of the two agents. */
  private readonly startCounts = [0, 0, 0, 0];
  private readonly dispatchedIds: string[] = [];
  private readonly dispatchedWhileLeaving: string[] = [];
  private readonly refusals = new Map<string, Refusal>();
  private readonly responseChunks = new Map<string, string[]>();
  private readonly endedIds = new Set<string>();
  /** Requests of a crashed entry, which need not end. */
  private readonly lostInEntryCrash = new Set<string>();
  private readonly sentIds: string[] = [];
  /** Request that holds the claim of the idempotency key, if any. */
  private claimedBy: string | undefined;
  private leavingSinceStep: number | undefined;

  constructor(
    private readonly document: PolicyDocument,
    private readonly modelCheckCase: ModelCheckCase,
    private readonly hooks: ModelCheckHooks,
  ) {}

  /** Runs the case until every request has ended and nothing is pending, or time runs out. */
  run(): ModelCheckResult {
    AGENTS.forEach((_, index) => this.startAgent(index));
    [0, 1].forEach((index) => this.startEntry(index));
    this.drainPending();
    [0, 1].forEach((index) => this.sendRequest(index));
    while (this.nowMs < MAX_TIME_MS && !this.isDone()) {
      this.step();
    }
    return { violations: this.findViolations(), stepCount: this.stepCount };
  }

  private isDone(): boolean {
    const isEnded = this.sentIds.every(
      (id) => this.endedIds.has(id) || this.lostInEntryCrash.has(id),
    );
    return isEnded && this.pending.length === 0;
  }

  private drainPending(): void {
    while (this.pending.length > 0) {
      this.pending.shift()!.deliver();
    }
  }

  private step(): void {
    if (this.stepCount === this.modelCheckCase.faultStep) {
      this.injectFault();
    }
    this.stepCount += 1;
    if (this.pending.length === 0) {
      this.nowMs += IDLE_STEP_MS;
      this.entries.forEach((_, index) => this.handleEntry(index, { kind: 'tick' }));
      this.agents.forEach((_, index) => this.handleAgent(index, { kind: 'tick' }));
      return;
    }
    this.takeNext().deliver();
  }

  /**
   * Removes the oldest item; at the reordered step, the newest item with no older item in its
   * channel.
   */
  private takeNext(): PendingItem {
    const isReorderedStep = this.stepCount === this.modelCheckCase.reorderedStep;
    const busyChannels = new Set<string>();
    let index = 0;
    for (let candidate = 0; isReorderedStep && candidate < this.pending.length; candidate += 1) {
      const { channel } = this.pending[candidate]!;
      index = channel === undefined || !busyChannels.has(channel) ? candidate : index;
      busyChannels.add(channel ?? '');
    }
    return this.pending.splice(index, 1)[0]!;
  }

  private injectFault(): void {
    const { fault } = this.modelCheckCase;
    if (fault === 'crash-entry-0') {
      this.crashEntry(0);
    } else if (fault === 'crash-agent-0' || fault === 'crash-agent-1') {
      this.crashAgent(fault === 'crash-agent-0' ? 0 : 1);
    } else if (fault === 'break-connection-0-0' || fault === 'break-connection-0-1') {
      this.breakConnection(0, fault === 'break-connection-0-0' ? 0 : 1);
    } else if (fault === 'double-message') {
      this.duplicateMessage();
    } else if (fault === 'leave-agent-0') {
      this.leavingSinceStep = this.stepCount;
      this.handleAgent(0, { kind: 'leave' });
    }
  }

  /**
   * Duplicates the oldest pending item between an entry and an agent; engine events and claims are
   * never duplicated.
   */
  private duplicateMessage(): void {
    const index = this.pending.findIndex((item) => item.channel?.startsWith('link') ?? false);
    if (index >= 0) {
      this.pending.splice(index, 0, this.pending[index]!);
    }
  }

  private startEntry(index: number): void {
    this.startCounts[index]! += 1;
    const incarnation = `entry-${index}.${this.startCounts[index]}`;
    this.entries[index] = new EntryCore({
      identity: { name: `entry-${index}`, incarnation, region: 'r', zone: 'z', place: 'hall-a' },
      options: DEFAULT_ENTRY_OPTIONS,
      random: new SeededRandom(index + 1),
    });
    const machines = AGENTS.map((name) => createMachine(name));
    const { document } = this;
    const update = { form: 'full' as const, generation: 1, document, recent: [] };
    this.handleEntry(index, { kind: 'policy', update });
    this.handleEntry(index, { kind: 'fleet', machines });
  }

  private startAgent(index: number): void {
    this.startCounts[2 + index]! += 1;
    const name = AGENTS[index]!;
    const incarnation = `${name}.${this.startCounts[2 + index]}`;
    this.agents[index] = new AgentCore({
      identity: { name, incarnation, region: 'r', zone: 'z', place: 'hall-a' },
      options: { ...DEFAULT_AGENT_OPTIONS, capacity: 1 },
    });
    const { document } = this;
    const update = { form: 'full' as const, generation: 1, document, recent: [] };
    this.handleAgent(index, { kind: 'policy', update });
  }

  private sendRequest(index: number): void {
    const id = `${this.entries[index]!.state.identity.incarnation}:1`;
    this.sentIds.push(id);
    this.handleEntry(index, {
      kind: 'request-arrived',
      request: {
        id,
        tenant: 'shop',
        model: 'ledger',
        dataLabels: { class: 'ledger' },
        deadlineInMs: 10_000,
        promptTokens: 0,
        maxOutputTokens: 0,
        prefixHash: '',
        isRepeatable: false,
        idempotencyKey: IDEMPOTENCY_KEY,
        payload: { method: 'POST', path: '/', contentType: 'x', body: '' },
      },
    });
  }

  private handleEntry(index: number, event: EntryEvent): void {
    const core = this.entries[index]!;
    const effects = core.handle(event, this.nowMs);
    for (const effect of this.hooks.transformEntryEffects?.(effects) ?? effects) {
      this.applyEntryEffect(index, core, effect);
    }
  }

  private applyEntryEffect(index: number, core: EntryCore, effect: EntryEffect): void {
    switch (effect.kind) {
      case 'send':
        this.sendToAgent(index, core, effect.peer, effect.message);
        break;
      case 'connect':
        this.connect(index, core, effect.peer, effect.connectionNumber);
        break;
      case 'answer-chunk':
        this.responseChunks.set(effect.id, [
          ...(this.responseChunks.get(effect.id) ?? []),
          String(effect.data),
        ]);
        break;
      case 'answer-end':
        this.endRequest(effect.id);
        break;
      case 'refuse':
        this.refusals.set(effect.id, effect.refusal);
        this.endRequest(effect.id);
        break;
      case 'claim':
        this.claim(index, core, effect.id);
        break;
      case 'release-claim':
        this.claimedBy = this.claimedBy === effect.id ? undefined : this.claimedBy;
        break;
      default:
        break;
    }
  }

  private endRequest(id: string): void {
    this.endedIds.add(id);
  }

  private claim(index: number, core: EntryCore, id: string): void {
    this.enqueue(`claim ${id}`, undefined, () => {
      this.claimedBy ??= id;
      const outcome = this.claimedBy === id ? 'claimed' : 'taken';
      this.enqueue(`claimed ${id}`, undefined, () => {
        if (this.entries[index] === core) {
          this.handleEntry(index, { kind: 'claim-resolved', id, outcome });
        }
      });
    });
  }

  private connect(index: number, core: EntryCore, peer: string, connectionNumber: number): void {
    const agentIndex = AGENTS.indexOf(peer as (typeof AGENTS)[number]);
    const channel = channelName(index, agentIndex);
    const { name, incarnation, zone } = core.state.identity;
    const agent = this.agents[agentIndex]!;
    this.enqueue(`connect ${name} ${peer}`, channel, () => {
      if (this.entries[index] !== core || this.agents[agentIndex] !== agent) {
        return;
      }
      const helloFields = { kind: 'hello', version: 1, zone, connectionNumber } as const;
      this.handleAgent(agentIndex, {
        kind: 'peer-connected',
        hello: { ...helloFields, role: 'entry', name, incarnation },
      });
      const agentIncarnation = agent.state.identity.incarnation;
      this.handleEntry(index, {
        kind: 'peer-connected',
        peer,
        connectionNumber,
        hello: { ...helloFields, role: 'agent', name: peer, incarnation: agentIncarnation },
      });
    });
  }

  private sendToAgent(index: number, core: EntryCore, peer: string, message: Message): void {
    const agentIndex = AGENTS.indexOf(peer as (typeof AGENTS)[number]);
    const agent = this.agents[agentIndex]!;
    const connectionNumber = core.state.peers.get(peer)?.connectionNumber ?? 0;
    const { incarnation } = core.state.identity;
    this.enqueue(message.kind, `${channelName(index, agentIndex)} forth`, () => {
      if (this.agents[agentIndex] === agent) {
        const frame = { generation: 1, messages: [message] };
        this.handleAgent(agentIndex, { kind: 'frame', peer: incarnation, connectionNumber, frame });
      }
    });
  }

  private handleAgent(index: number, event: AgentEvent): void {
    const core = this.agents[index]!;
    for (const effect of core.handle(event, this.nowMs)) {
      this.applyAgentEffect(index, core, effect);
    }
  }

  private applyAgentEffect(index: number, core: AgentCore, effect: AgentEffect): void {
    if (effect.kind === 'send') {
      this.sendToEntry(index, core, effect.peer, effect.message);
    } else if (effect.kind === 'engine-start') {
      this.startEngine(index, core, effect.request.id);
    }
  }

  private sendToEntry(index: number, core: AgentCore, peer: string, message: Message): void {
    const entryIndex = this.entries.findIndex((entry) => entry.state.identity.incarnation === peer);
    const connectionNumber = core.state.peers.get(peer)?.connectionNumber ?? 0;
    const name = AGENTS[index]!;
    if (entryIndex < 0) {
      return;
    }
    const entry = this.entries[entryIndex]!;
    this.enqueue(message.kind, `${channelName(entryIndex, index)} back`, () => {
      if (this.entries[entryIndex] === entry) {
        const frame = { generation: 1, messages: [message] };
        this.handleEntry(entryIndex, { kind: 'frame', peer: name, connectionNumber, frame });
      }
    });
  }

  private startEngine(index: number, core: AgentCore, id: string): void {
    this.dispatchedIds.push(id);
    if (index === 0 && this.leavingSinceStep !== undefined) {
      this.dispatchedWhileLeaving.push(id);
    }
    const emit = (event: AgentEvent) =>
      this.enqueue(event.kind, `engine ${index}`, () => {
        if (this.agents[index] === core) {
          this.handleAgent(index, event);
        }
      });
    emit({ kind: 'engine-started', id, status: 200, contentType: 'x' });
    for (let chunk = 0; chunk < CHUNK_COUNT; chunk += 1) {
      emit({ kind: 'engine-chunk', id, data: `${id}/${chunk}` });
    }
    const usage = { promptTokens: 0, cachedPromptTokens: 0, outputTokens: 0 };
    emit({ kind: 'engine-ended', id, usage: { ...usage, prefillMs: 0, decodeMs: 0 } });
  }

  private crashEntry(index: number): void {
    const crashed = this.entries[index]!;
    const { incarnation } = crashed.state.identity;
    this.sentIds
      .filter((id) => id.startsWith(incarnation))
      .forEach((id) => this.lostInEntryCrash.add(id));
    AGENTS.forEach((name, agentIndex) => {
      this.dropItems(channelName(index, agentIndex));
      const connectionNumber = crashed.state.peers.get(name)?.connectionNumber ?? 0;
      this.handleAgent(agentIndex, {
        kind: 'peer-disconnected',
        peer: incarnation,
        connectionNumber,
      });
    });
    this.startEntry(index);
    // The caller retries with the same idempotency key through the restarted entry.
    this.sendRequest(index);
  }

  private crashAgent(index: number): void {
    this.dropItems(`engine ${index}`);
    this.startAgent(index);
    this.entries.forEach((entry, entryIndex) => {
      this.dropItems(channelName(entryIndex, index));
      const peer = AGENTS[index]!;
      const connectionNumber = entry.state.peers.get(peer)?.connectionNumber ?? 0;
      this.handleEntry(entryIndex, { kind: 'peer-disconnected', peer, connectionNumber });
    });
  }

  private breakConnection(entryIndex: number, agentIndex: number): void {
    this.dropItems(channelName(entryIndex, agentIndex));
    const entry = this.entries[entryIndex]!;
    const peer = AGENTS[agentIndex]!;
    const connectionNumber = entry.state.peers.get(peer)?.connectionNumber ?? 0;
    const { incarnation } = entry.state.identity;
    this.handleAgent(agentIndex, {
      kind: 'peer-disconnected',
      peer: incarnation,
      connectionNumber,
    });
    this.handleEntry(entryIndex, { kind: 'peer-disconnected', peer, connectionNumber });
  }

  /** Drops the pending items of every channel whose name starts with `channelPrefix`. */
  private dropItems(channelPrefix: string): void {
    const remaining = this.pending.filter(
      (item) => !(item.channel ?? '').startsWith(channelPrefix),
    );
    this.pending.splice(0, this.pending.length, ...remaining);
  }

  private enqueue(label: string, channel: string | undefined, deliver: () => void): void {
    this.pending.push({ label, channel, deliver });
  }

  private findViolations(): string[] {
    const violations: string[] = [];
    if (new Set(this.dispatchedIds).size < this.dispatchedIds.length) {
      violations.push(`a request was dispatched twice: ${this.dispatchedIds.join(', ')}`);
    }
    if (this.dispatchedIds.length > 1) {
      violations.push(`one idempotency key was dispatched ${this.dispatchedIds.length} times`);
    }
    for (const [id, refusal] of this.refusals) {
      if (refusal.ran === 'no' && this.dispatchedIds.includes(id)) {
        violations.push(`${id} was refused as not run (${refusal.reason}), but was dispatched`);
      }
    }
    for (const [id, chunks] of this.responseChunks) {
      const isInOrder = chunks.every((chunk, index) => chunk === `${id}/${index}`);
      const isIncomplete =
        this.endedIds.has(id) && !this.refusals.has(id) && chunks.length !== CHUNK_COUNT;
      if (!isInOrder || isIncomplete) {
        violations.push(`${id} received chunks ${chunks.join(', ')}`);
      }
    }
    for (const id of this.sentIds) {
      if (!this.endedIds.has(id) && !this.lostInEntryCrash.has(id)) {
        violations.push(`${id} never completed`);
      }
    }
    if (this.dispatchedWhileLeaving.length > 0) {
      violations.push(`a leaving agent dispatched ${this.dispatchedWhileLeaving.join(', ')}`);
    }
    return violations;
  }
}

function channelName(entryIndex: number, agentIndex: number): string {
  return `link ${entryIndex}-${agentIndex}`;
}

function createMachine(name: string): Machine {
  return {
    name,
    role: 'agent',
    region: 'r',
    zone: 'z',
    place: 'hall-a',
    address: name,
    port: 1,
    state: 'live',
  };
}
