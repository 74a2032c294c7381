/**
 * Binds waiting requests to back ends, without I/O.
 *
 * A request goes out at once while a permitted back end has a free slot. When
 * none has, it waits in order of tier, and the agents beside the back ends are
 * told what waits; an agent grants a slot the moment one is free, and the
 * gateway then binds whichever request comes first by that time.
 */
import type { BackendDirectory } from './backend-directory.js';
import type { Backend } from '../../routing/backend.js';
import { isLate } from '../../slot-agent/waiting-order.js';
import type { WaitingPlace } from '../../slot-agent/waiting-order.js';
import type { SlotAnswer, SlotMessage } from '../../slot-agent/slot-messages.js';
import type { AttemptOutcome } from './backend-health.js';
import { costOf, harmsOthers, usualSpeed } from './backend-choice.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { KnownBackend } from './known-backend.js';
import { nextDemand } from './slot-demand.js';
import { hasRoom } from './slot-room.js';
import { SlotSupply } from './slot-supply.js';
import { WaitingQueue } from './waiting-queue.js';

/** Options of a dispatcher. */
export interface DispatcherOptions {
  /** Waiting requests that agents are told of. Default 8. */
  readonly demandLength: number;
  /**
   * What all gateways together use of an engine while no agent tells, as a share of its slots.
   * Default 1.25: gateways are not equally busy.
   */
  readonly shareWithoutAgent: number;
  /** How long a back end that left the list is used where no other is left, in milliseconds. Default 1,500. */
  readonly unlistedGraceMs: number;
}

/** Defaults of a dispatcher. */
export const DEFAULT_DISPATCHER_OPTIONS: DispatcherOptions = {
  demandLength: 8,
  shareWithoutAgent: 1.25,
  unlistedGraceMs: 1_500,
};

/** What a dispatcher does to its surroundings. */
export interface DispatcherPorts {
  /** Sends a message to the agent beside a back end. */
  sendToAgent(backendId: string, message: SlotMessage): void;
  /** A back end was ejected for its failures. */
  onEjected(backendId: string): void;
  /** Whether a service's back ends are engines, which serve in batches. */
  isEngine(service: string): boolean;
  /** Gateways that are known, this one included. */
  countGateways(): number;
  /** Tokens that an engine of the service gathers in one event. */
  tokensPerEvent(service: string): number;
}

/** Binds waiting requests to back ends. */
export class Dispatcher {
  private readonly waiting = new Map<string, WaitingQueue>();
  private readonly supplies = new Map<string, SlotSupply>();

  constructor(
    private readonly directory: BackendDirectory,
    private readonly ports: DispatcherPorts,
    private readonly options: DispatcherOptions = DEFAULT_DISPATCHER_OPTIONS,
  ) {}

  /** Expected time until a waiting request is bound, in milliseconds; Infinity if others take every slot. */
  expectedWaitMs(request: DispatchRequest, nowMs: number): number {
    return this.waitOf(request, request.service, nowMs);
  }

  /** The same for the time when it is late and stands behind those that are not. */
  expectedLateWaitMs(request: DispatchRequest, nowMs: number): number {
    return this.waitOf({ ...request, startByMs: -Infinity }, request.service, nowMs);
  }

  /**
   * Expected time until the place that a refused request would get is free, in milliseconds. Where more
   * urgent requests take every slot, the shortage is expected to last as long as it has lasted.
   */
  expectedRecoveryMs(request: DispatchRequest, nowMs: number): number {
    const waitMs = this.expectedLateWaitMs(request, nowMs);
    return Number.isFinite(waitMs) ? waitMs : this.supplyOf(request.service).busyForMs(nowMs);
  }

  /** Requests that wait, by service. */
  waitingByService(): Map<string, number> {
    return new Map([...this.waiting].map(([service, queue]) => [service, queue.length]));
  }

  /** Requests that wait for a service. */
  countWaiting(service: string): number {
    return this.waiting.get(service)?.length ?? 0;
  }

  /** Takes in a back end's newest announcement; undefined when it left the list. */
  updateBackend(backendId: string, backend: Backend | undefined, nowMs: number): void {
    this.directory.update(backendId, backend, nowMs);
    if (backend !== undefined) {
      this.serve(backend.service, nowMs);
    }
  }

  /** Binds the request now if a slot is free; otherwise it waits in order. */
  submit(request: DispatchRequest, nowMs: number): void {
    if (!isLate(request, nowMs)) {
      this.supplyOf(request.service).noteArrival(request, nowMs);
    }
    this.queueOf(request.service).add(request);
    this.serve(request.service, nowMs);
    this.noteWaiting(request.service, nowMs);
  }

  /** Takes a waiting request back. */
  withdraw(request: DispatchRequest, nowMs: number): void {
    if (this.remove(request)) {
      this.noteWaiting(request.service, nowMs);
      this.tellDemand(request.service, nowMs);
    }
  }

  /** An attempt ended. */
  finish(backendId: string, outcome: AttemptOutcome, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known === undefined) {
      return;
    }
    known.outstanding = Math.max(0, known.outstanding - 1);
    if (known.health.learn(outcome, nowMs)) {
      this.ports.onEjected(backendId);
    }
    this.sendToAgent(backendId, known, { kind: 'released' });
    if (outcome === 'answered') {
      this.sendToAgent(backendId, known, { kind: 'speed', speed: known.learned });
    }
    this.serve(known.backend.service, nowMs);
  }

  /** The first event came, or never will: the prompt no longer stands before others. */
  notePromptRead(backendId: string, promptTokens: number): void {
    const known = this.directory.find(backendId);
    if (known !== undefined) {
      known.pendingPromptTokens = Math.max(0, known.pendingPromptTokens - promptTokens);
    }
  }

  /** Learns a back end's speed from a whole answer. */
  learnSpeed(backendId: string, units: number, elapsedMs: number): void {
    this.directory.find(backendId)?.learnSpeed(units, elapsedMs);
  }

  /** Learns how fast a back end reads prompts. */
  learnFirst(backendId: string, promptTokens: number, firstMs: number): void {
    const known = this.directory.find(backendId);
    if (known === undefined) {
      return;
    }
    const wasKnown = known.speed.isKnown;
    known.speed.learnFirst(promptTokens, firstMs);
    if (!wasKnown && known.speed.isKnown) {
      this.sendToAgent(backendId, known, { kind: 'speed', speed: known.learned });
    }
  }

  /** Learns how far apart the events of a back end are. */
  learnPause(backendId: string, pauseMs: number): void {
    this.directory.find(backendId)?.speed.learnPause(pauseMs);
  }

  /** A connection to the agent of a back end stands. */
  connectAgent(backendId: string, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known === undefined) {
      return;
    }
    known.agent = {
      occupied: known.outstanding,
      messagesSent: 0,
      takenUnseen: [],
      grantsSeen: 0,
      lastDemand: '',
    };
    this.tellDemand(known.backend.service, nowMs);
  }

  /** The connection to the agent of a back end is gone. */
  disconnectAgent(backendId: string, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known !== undefined) {
      known.agent = undefined;
      known.endAgentWait();
      this.serve(known.backend.service, nowMs);
    }
  }

  /** Takes a message of the agent of a back end. */
  receiveFromAgent(backendId: string, message: SlotAnswer, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known?.agent === undefined) {
      return;
    }
    if (message.kind === 'state') {
      known.agent.occupied = message.occupied;
      known.adopt(message.speed);
      const { messagesSeen } = message;
      known.agent.takenUnseen = known.agent.takenUnseen.filter((number) => number > messagesSeen);
      this.serve(known.backend.service, nowMs);
      return;
    }
    known.agent.grantsSeen += 1;
    this.useGrant(backendId, known, nowMs);
  }

  /** Serves what waits; to be called now and then, since ejections end with time alone. */
  tick(nowMs: number): void {
    for (const service of this.waiting.keys()) {
      this.serve(service, nowMs);
    }
  }

  private useGrant(backendId: string, known: KnownBackend, nowMs: number): void {
    const queue = this.waitingInOrder(known.backend.service, nowMs);
    const isUsable = known.isReady && !known.health.isEjected(nowMs);
    const request = isUsable
      ? queue.find(
          (candidate) =>
            !candidate.excluded.has(backendId) && !this.harms(candidate, known, known.occupied - 1),
        )
      : undefined;
    if (request === undefined) {
      this.sendToAgent(backendId, known, { kind: 'grant-returned' });
      return;
    }
    this.sendToAgent(backendId, known, { kind: 'grant-used' });
    this.remove(request);
    this.bind(request, known, nowMs, true);
    this.noteWaiting(request.service, nowMs);
    this.tellDemand(known.backend.service, nowMs);
  }

  private serve(service: string, nowMs: number): void {
    const queue = this.waitingInOrder(service, nowMs);
    if (queue.length === 0) {
      return;
    }
    for (const request of queue) {
      if (!this.hasAnyRoom(service, nowMs)) {
        break;
      }
      const chosen = this.choose(request, nowMs);
      if (chosen !== undefined && this.remove(request)) {
        this.bind(request, chosen, nowMs, false);
      }
    }
    this.noteWaiting(service, nowMs);
    this.tellDemand(service, nowMs);
  }

  private bind(
    request: DispatchRequest,
    known: KnownBackend,
    nowMs: number,
    isGranted: boolean,
  ): void {
    this.supplyOf(request.service).noteBound(nowMs);
    known.outstanding += 1;
    known.pendingPromptTokens += request.promptTokens;
    if (!isGranted && known.agent !== undefined) {
      this.sendToAgent(known.backend.id, known, { kind: 'taken' });
      known.agent.takenUnseen.push(known.agent.messagesSent);
    }
    request.onPlaced(known.backend, nowMs);
  }

  private choose(request: DispatchRequest, nowMs: number): KnownBackend | undefined {
    const permitted = this.candidates(request, nowMs);
    const candidates = permitted.filter(
      (known) => this.hasRoom(known, nowMs) && !this.harms(request, known, known.occupied),
    );
    const usual = usualSpeed(permitted);
    let best: KnownBackend | undefined;
    let bestCost = Infinity;
    for (const known of candidates) {
      const cost = costOf(request, known, usual, nowMs);
      if (cost < bestCost) {
        best = known;
        bestCost = cost;
      }
    }
    return best;
  }

  private harms(request: DispatchRequest, known: KnownBackend, others: number): boolean {
    const tokensPerEvent = this.ports.tokensPerEvent(request.service);
    return harmsOthers(request, known.speed, others, tokensPerEvent);
  }

  private hasAnyRoom(service: string, nowMs: number): boolean {
    return this.directory.ofService(service).some((known) => this.hasRoom(known, nowMs));
  }

  /**
   * Back ends that the request may be bound to: healthy ones of those that this
   * gateway works with if there are any, then other healthy ones.
   */
  private candidates(request: DispatchRequest, nowMs: number): KnownBackend[] {
    const permitted = this.directory
      .ofService(request.service)
      .filter((known) => !request.excluded.has(known.backend.id));
    const ready = permitted.filter((known) => known.isReady);
    if (ready.length === 0) {
      return permitted.filter((known) => this.isUnlistedLately(known, nowMs));
    }
    const healthy = ready.filter((known) => !known.health.isEjected(nowMs));
    const assigned = healthy.filter((known) => known.isAssigned);
    if (assigned.length > 0) {
      return assigned;
    }
    return healthy.length > 0 ? healthy : ready;
  }

  private isUnlistedLately(known: KnownBackend, nowMs: number): boolean {
    const { unlistedAtMs, backend } = known;
    const isRecent =
      unlistedAtMs !== undefined && nowMs - unlistedAtMs < this.options.unlistedGraceMs;
    return isRecent && backend.state === 'ready' && !known.isReplaced;
  }

  private hasRoom(known: KnownBackend, nowMs: number): boolean {
    const inputs = {
      isEngine: this.ports.isEngine(known.backend.service),
      gateways: this.ports.countGateways(),
      shareWithoutAgent: this.options.shareWithoutAgent,
      draw: this.directory.shareDraw(known.backend.id),
    };
    return hasRoom(known, inputs, nowMs);
  }

  private waitOf(place: WaitingPlace, service: string, nowMs: number): number {
    const ahead = this.waiting.get(service)?.countBefore(place, nowMs) ?? 0;
    return this.supplyOf(service).expectedWaitMs(place, ahead, isLate(place, nowMs), nowMs);
  }

  private noteWaiting(service: string, nowMs: number): void {
    this.supplyOf(service).noteWaiting(this.countWaiting(service) > 0, nowMs);
  }

  private supplyOf(service: string): SlotSupply {
    const known = this.supplies.get(service) ?? new SlotSupply();
    this.supplies.set(service, known);
    return known;
  }

  private queueOf(service: string): WaitingQueue {
    const known = this.waiting.get(service) ?? new WaitingQueue();
    this.waiting.set(service, known);
    return known;
  }

  private remove(request: DispatchRequest): boolean {
    return this.waiting.get(request.service)?.remove(request) ?? false;
  }

  private waitingInOrder(service: string, nowMs: number): readonly DispatchRequest[] {
    return this.waiting.get(service)?.inOrder(nowMs) ?? [];
  }

  private tellDemand(service: string, nowMs: number): void {
    const inputs = {
      waiting: this.waitingInOrder(service, nowMs),
      tokensPerEvent: this.ports.tokensPerEvent(service),
      maxLength: this.options.demandLength,
    };
    for (const known of this.directory.ofService(service)) {
      const demand = nextDemand(known, inputs, nowMs);
      if (demand !== undefined) {
        this.sendToAgent(known.backend.id, known, demand);
      }
    }
  }

  private sendToAgent(backendId: string, known: KnownBackend, message: SlotMessage): void {
    if (known.agent !== undefined) {
      known.agent.messagesSent += 1;
      this.ports.sendToAgent(backendId, message);
    }
  }
}
