/** Two entries and two agents with explicit queues: one small case of the systematic search. */
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

/** The fault of a case. */
export type CaseFault =
  | 'none'
  | 'crash-entry-0'
  | 'crash-agent-0'
  | 'crash-agent-1'
  | 'break-connection-0-0'
  | 'break-connection-0-1'
  | 'double-message'
  | 'leave-agent-0';

/** Every fault of a case. */
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

/** One case: a fault before one step, and one step that takes the newest item instead of the oldest. */
export interface SmallCase {
  readonly fault: CaseFault;
  readonly faultStep: number;
  readonly outOfTurnStep: number;
}

/** What one case gave. */
export interface SmallCaseResult {
  readonly faults: readonly string[];
  readonly stepCount: number;
}

/** Ways to break the cores, so that the search is seen to fail. */
export interface SmallCaseHooks {
  changeEntryEffects?(effects: EntryEffect[]): EntryEffect[];
}

interface PendingItem {
  readonly label: string;
  /** The connection that the item travels on; undefined for local events. */
  readonly link: string | undefined;
  readonly deliver: () => void;
}

const KEY = 'key';
const AGENTS = ['agent-0', 'agent-1'] as const;
const CHUNKS = 2;
const IDLE_STEP_MS = 100;
const MAX_TIME_MS = 40_000;

/** Two entries and two agents with explicit queues of everything that is under way. */
export class SmallWorld {
  private nowMs = 0;
  private stepCount = 0;
  private readonly pending: PendingItem[] = [];
  private readonly entries: EntryCore[] = [];
  private readonly agents: AgentCore[] = [];
  private readonly starts = [0, 0, 0, 0];
  private readonly handed: string[] = [];
  private readonly handedWhileLeft: string[] = [];
  private readonly refused = new Map<string, Refusal>();
  private readonly answers = new Map<string, string[]>();
  private readonly ended = new Set<string>();
  private readonly lostWithEntry = new Set<string>();
  private readonly sent: string[] = [];
  private claimedBy: string | undefined;
  private leftAtStep: number | undefined;

  constructor(
    private readonly document: PolicyDocument,
    private readonly smallCase: SmallCase,
    private readonly hooks: SmallCaseHooks,
  ) {}

  /** Runs the case until everything ended. */
  run(): SmallCaseResult {
    AGENTS.forEach((_, index) => this.startAgent(index));
    [0, 1].forEach((index) => this.startEntry(index));
    this.settle();
    [0, 1].forEach((index) => this.sendRequest(index));
    while (this.nowMs < MAX_TIME_MS && !this.isDone()) {
      this.step();
    }
    return { faults: this.findFaults(), stepCount: this.stepCount };
  }

  private isDone(): boolean {
    const isEnded = this.sent.every((id) => this.ended.has(id) || this.lostWithEntry.has(id));
    return isEnded && this.pending.length === 0;
  }

  private settle(): void {
    while (this.pending.length > 0) {
      this.pending.shift()!.deliver();
    }
  }

  private step(): void {
    if (this.stepCount === this.smallCase.faultStep) {
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

  /** The oldest item; at one step the newest one that no older item of the same connection holds back. */
  private takeNext(): PendingItem {
    const isOutOfTurn = this.stepCount === this.smallCase.outOfTurnStep;
    const links = new Set<string>();
    let index = 0;
    for (let candidate = 0; isOutOfTurn && candidate < this.pending.length; candidate += 1) {
      const { link } = this.pending[candidate]!;
      index = link === undefined || !links.has(link) ? candidate : index;
      links.add(link ?? '');
    }
    return this.pending.splice(index, 1)[0]!;
  }

  private injectFault(): void {
    const { fault } = this.smallCase;
    if (fault === 'crash-entry-0') {
      this.crashEntry(0);
    } else if (fault === 'crash-agent-0' || fault === 'crash-agent-1') {
      this.crashAgent(fault === 'crash-agent-0' ? 0 : 1);
    } else if (fault === 'break-connection-0-0' || fault === 'break-connection-0-1') {
      this.breakConnection(0, fault === 'break-connection-0-0' ? 0 : 1);
    } else if (fault === 'double-message') {
      this.doubleMessage();
    } else if (fault === 'leave-agent-0') {
      this.leftAtStep = this.stepCount;
      this.handleAgent(0, { kind: 'leave' });
    }
  }

  /** Only what travels between processes can come twice. */
  private doubleMessage(): void {
    const index = this.pending.findIndex((item) => item.link?.startsWith('link') ?? false);
    if (index >= 0) {
      this.pending.splice(index, 0, this.pending[index]!);
    }
  }

  private startEntry(index: number): void {
    this.starts[index]! += 1;
    const incarnation = `entry-${index}.${this.starts[index]}`;
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
    this.starts[2 + index]! += 1;
    const name = AGENTS[index]!;
    const incarnation = `${name}.${this.starts[2 + index]}`;
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
    this.sent.push(id);
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
        idempotencyKey: KEY,
        payload: { method: 'POST', path: '/', contentType: 'x', body: '' },
      },
    });
  }

  private handleEntry(index: number, event: EntryEvent): void {
    const core = this.entries[index]!;
    const effects = core.handle(event, this.nowMs);
    for (const effect of this.hooks.changeEntryEffects?.(effects) ?? effects) {
      this.performEntry(index, core, effect);
    }
  }

  private performEntry(index: number, core: EntryCore, effect: EntryEffect): void {
    switch (effect.kind) {
      case 'send':
        this.sendToAgent(index, core, effect.peer, effect.message);
        break;
      case 'connect':
        this.connect(index, core, effect.peer, effect.connectionNumber);
        break;
      case 'answer-chunk':
        this.answers.set(effect.id, [...(this.answers.get(effect.id) ?? []), String(effect.data)]);
        break;
      case 'answer-end':
        this.endRequest(effect.id);
        break;
      case 'refuse':
        this.refused.set(effect.id, effect.refusal);
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
    this.ended.add(id);
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
    const link = linkName(index, agentIndex);
    const { name, incarnation, zone } = core.state.identity;
    const agent = this.agents[agentIndex]!;
    this.enqueue(`connect ${name} ${peer}`, link, () => {
      if (this.entries[index] !== core || this.agents[agentIndex] !== agent) {
        return;
      }
      const common = { kind: 'hello', version: 1, zone, connectionNumber } as const;
      this.handleAgent(agentIndex, {
        kind: 'peer-connected',
        hello: { ...common, role: 'entry', name, incarnation },
      });
      const agentIncarnation = agent.state.identity.incarnation;
      this.handleEntry(index, {
        kind: 'peer-connected',
        peer,
        connectionNumber,
        hello: { ...common, role: 'agent', name: peer, incarnation: agentIncarnation },
      });
    });
  }

  private sendToAgent(index: number, core: EntryCore, peer: string, message: Message): void {
    const agentIndex = AGENTS.indexOf(peer as (typeof AGENTS)[number]);
    const agent = this.agents[agentIndex]!;
    const connectionNumber = core.state.peers.get(peer)?.connectionNumber ?? 0;
    const { incarnation } = core.state.identity;
    this.enqueue(message.kind, `${linkName(index, agentIndex)} forth`, () => {
      if (this.agents[agentIndex] === agent) {
        const frame = { generation: 1, messages: [message] };
        this.handleAgent(agentIndex, { kind: 'frame', peer: incarnation, connectionNumber, frame });
      }
    });
  }

  private handleAgent(index: number, event: AgentEvent): void {
    const core = this.agents[index]!;
    for (const effect of core.handle(event, this.nowMs)) {
      this.performAgent(index, core, effect);
    }
  }

  private performAgent(index: number, core: AgentCore, effect: AgentEffect): void {
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
    this.enqueue(message.kind, `${linkName(entryIndex, index)} back`, () => {
      if (this.entries[entryIndex] === entry) {
        const frame = { generation: 1, messages: [message] };
        this.handleEntry(entryIndex, { kind: 'frame', peer: name, connectionNumber, frame });
      }
    });
  }

  private startEngine(index: number, core: AgentCore, id: string): void {
    this.handed.push(id);
    if (index === 0 && this.leftAtStep !== undefined) {
      this.handedWhileLeft.push(id);
    }
    const tell = (event: AgentEvent) =>
      this.enqueue(event.kind, `engine ${index}`, () => {
        if (this.agents[index] === core) {
          this.handleAgent(index, event);
        }
      });
    tell({ kind: 'engine-started', id, status: 200, contentType: 'x' });
    for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
      tell({ kind: 'engine-chunk', id, data: `${id}/${chunk}` });
    }
    const usage = { promptTokens: 0, cachedPromptTokens: 0, outputTokens: 0 };
    tell({ kind: 'engine-ended', id, usage: { ...usage, prefillMs: 0, decodeMs: 0 } });
  }

  private crashEntry(index: number): void {
    const old = this.entries[index]!;
    const { incarnation } = old.state.identity;
    this.sent
      .filter((id) => id.startsWith(incarnation))
      .forEach((id) => this.lostWithEntry.add(id));
    AGENTS.forEach((name, agentIndex) => {
      this.dropItems(linkName(index, agentIndex));
      const connectionNumber = old.state.peers.get(name)?.connectionNumber ?? 0;
      this.handleAgent(agentIndex, {
        kind: 'peer-disconnected',
        peer: incarnation,
        connectionNumber,
      });
    });
    this.startEntry(index);
    // Its caller tries again, through the entry that came in its place, with the same key.
    this.sendRequest(index);
  }

  private crashAgent(index: number): void {
    this.dropItems(`engine ${index}`);
    this.startAgent(index);
    this.entries.forEach((entry, entryIndex) => {
      this.dropItems(linkName(entryIndex, index));
      const peer = AGENTS[index]!;
      const connectionNumber = entry.state.peers.get(peer)?.connectionNumber ?? 0;
      this.handleEntry(entryIndex, { kind: 'peer-disconnected', peer, connectionNumber });
    });
  }

  private breakConnection(entryIndex: number, agentIndex: number): void {
    this.dropItems(linkName(entryIndex, agentIndex));
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

  private dropItems(link: string): void {
    const kept = this.pending.filter((item) => !(item.link ?? '').startsWith(link));
    this.pending.splice(0, this.pending.length, ...kept);
  }

  private enqueue(label: string, link: string | undefined, deliver: () => void): void {
    this.pending.push({ label, link, deliver });
  }

  private findFaults(): string[] {
    const faults: string[] = [];
    if (new Set(this.handed).size < this.handed.length) {
      faults.push(`a request was dispatched twice: ${this.handed.join(', ')}`);
    }
    if (this.handed.length > 1) {
      faults.push(`one key ran ${this.handed.length} times`);
    }
    for (const [id, refusal] of this.refused) {
      if (refusal.ran === 'no' && this.handed.includes(id)) {
        faults.push(`${id} was told not run as ${refusal.reason}, but ran`);
      }
    }
    for (const [id, chunks] of this.answers) {
      const isInOrder = chunks.every((chunk, index) => chunk === `${id}/${index}`);
      const isCut = this.ended.has(id) && !this.refused.has(id) && chunks.length !== CHUNKS;
      if (!isInOrder || isCut) {
        faults.push(`${id} got ${chunks.join(', ')}`);
      }
    }
    for (const id of this.sent) {
      if (!this.ended.has(id) && !this.lostWithEntry.has(id)) {
        faults.push(`${id} never ended`);
      }
    }
    if (this.handedWhileLeft.length > 0) {
      faults.push(`a leaving agent started ${this.handedWhileLeft.join(', ')}`);
    }
    return faults;
  }
}

function linkName(entryIndex: number, agentIndex: number): string {
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
