/**
 * Binds waiting requests to back ends, without I/O.
 *
 * A request goes out at once while a permitted back end has a free slot. When
 * none has, it waits in order of tier, and the agents beside the back ends are
 * told what waits; an agent grants a slot the moment one is free, and the
 * gateway then binds whichever request comes first by that time.
 */
import { BackendChooser } from './backend-chooser.js';
import type {
  BackendChooserOptions,
  BackendChooserPorts,
  ServedRequest,
} from './backend-chooser.js';
import type { BackendDirectory } from './backend-directory.js';
import type { Backend } from '../../routing/backend.js';
import type { RestrictionReason } from '../../routing/backend-restriction.js';
import type {
  SlotAnswer,
  SlotGranted,
  SlotMessage,
  SlotReleased,
} from '../../slot-agent/slot-messages.js';
import type { EngineAvailability } from '../../slot-agent/engine-watch.js';
import type { AttemptOutcome } from './backend-health.js';
import { homeRefusalOf } from '../homes/home-refusal.js';
import type { HomeRefusalReason } from '../homes/home-refusal.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { KnownBackend, SlotAgentLink } from './known-backend.js';
import { hasWaitedForNear } from './near-first.js';
import { nextDemand, UNTOLD_DEMAND } from './slot-demand.js';
import { statedHomes } from './stated-homes.js';
import { ServiceQueue } from './service-queue.js';

/** Options of a dispatcher. */
export interface DispatcherOptions extends BackendChooserOptions {
  /** Waiting requests that agents are told of. Default 8. */
  readonly demandLength: number;
}

/** Defaults of a dispatcher. */
export const DEFAULT_DISPATCHER_OPTIONS: DispatcherOptions = {
  demandLength: 8,
  shareWithoutAgent: 1.25,
  unlistedGraceMs: 1_500,
};

/** What a dispatcher does to its surroundings. */
export interface DispatcherPorts extends BackendChooserPorts {
  /** Sends a message to the agent beside a back end. */
  sendToAgent(backendId: string, message: SlotMessage): void;
  /** A request was bound to a back end and is sent there. */
  onSent(backend: Backend): void;
  /** A back end was ejected for its failures. */
  onEjected(backendId: string): void;
  /** A request was kept from back ends that operators do not permit; once for each reason. */
  onKept(reason: RestrictionReason): void;
  /** The agent beside a back end says whether it may be used. */
  onAvailability(backend: Backend, availability: EngineAvailability): void;
  /** The agent beside a back end finds that nothing listens at its address. */
  onEnded?(backendId: string): void;
}

/** How long requests of a service are expected to wait. */
export type WaitForecast = Pick<
  ServiceQueue,
  'expectedWaitMs' | 'expectedLateWaitMs' | 'expectedRecoveryMs'
>;

/** Binds waiting requests to back ends. */
export class Dispatcher {
  private readonly waiting = new Map<string, ServiceQueue>();
  private readonly chooser: BackendChooser;

  constructor(
    private readonly directory: BackendDirectory,
    private readonly ports: DispatcherPorts,
    private readonly options: DispatcherOptions = DEFAULT_DISPATCHER_OPTIONS,
  ) {
    this.chooser = new BackendChooser(directory, ports, options);
  }

  /** The queue of a service, by which the wait of its requests is reckoned. */
  forecastOf(service: string): WaitForecast {
    return this.queueOf(service);
  }

  /** Requests that wait, by service. */
  waitingByService(): Map<string, number> {
    return new Map([...this.waiting].map(([service, queue]) => [service, queue.length]));
  }

  /** Requests that wait for a service. */
  countWaiting(service: string): number {
    return this.waiting.get(service)?.length ?? 0;
  }

  /** Why a request is refused for its homes; undefined where it is not. */
  homeRefusal(request: ServedRequest, nowMs: number): HomeRefusalReason | undefined {
    return homeRefusalOf(request.allowedRegions, () => this.chooser.hasCandidates(request, nowMs));
  }

  /** Why operators keep a request from a back end; undefined where they do not. */
  restriction(request: ServedRequest, known: KnownBackend): RestrictionReason | undefined {
    return this.chooser.restriction(request, known);
  }

  /** The region of a zone; undefined for one that is not known. */
  regionOf(zone: string): string | undefined {
    return this.ports.regionOf(zone);
  }

  /** Whether operators permit a back end that is listed as taking requests, those in `excluded` left out. */
  hasReady(request: ServedRequest, excluded: ReadonlySet<string>): boolean {
    return this.directory
      .ofService(request.service)
      .some(
        (known) =>
          known.isReady &&
          !excluded.has(known.backend.id) &&
          this.chooser.isPermitted(request, known),
      );
  }

  /** The same for one that does not rest now, so that the request need not wait for it. */
  hasAwake(request: ServedRequest, excluded: ReadonlySet<string>, nowMs: number): boolean {
    const resting = this.directory
      .ofService(request.service)
      .filter(({ condition }) => condition.isResting(nowMs))
      .map(({ backend }) => backend.id);
    return this.hasReady(
      request,
      resting.length === 0 ? excluded : new Set([...excluded, ...resting]),
    );
  }

  /** The same for one on a path that is trusted. */
  hasReachable(request: ServedRequest, excluded: ReadonlySet<string>, nowMs: number): boolean {
    const suspects = this.directory
      .ofService(request.service)
      .filter(({ path, availability }) => path.isSuspect || availability === 'closed')
      .map(({ backend }) => backend.id);
    return this.hasAwake(request, new Set([...excluded, ...suspects]), nowMs);
  }

  /** Whether a slot of a back end that is not in `excluded` could be had now, before anything that waits. */
  hasRoom(request: ServedRequest, excluded: ReadonlySet<string>, nowMs: number): boolean {
    const isFirst = this.countWaiting(request.service) === 0;
    return isFirst && this.chooser.hasRoomFor(request, excluded, nowMs);
  }

  /** Takes in a back end's newest announcement; see `BackendDirectory.update`. */
  updateBackend(
    backendId: string,
    backend: Backend | undefined,
    nowMs: number,
    isWithdrawn = false,
  ): void {
    this.directory.update(backendId, backend, nowMs, isWithdrawn);
    if (backend !== undefined) {
      this.serve(backend.service, nowMs);
    }
  }

  /**
   * Takes in what operators ordered: `apply` changes what back ends are permitted. What is left of each
   * service's slots is reckoned with at once, and what waits is served by whatever is permitted now.
   */
  changeOrders(apply: () => void, nowMs: number): void {
    const { directory } = this;
    const before = directory.services.map((service) => directory.countSlots(service));
    apply();
    for (const [index, service] of directory.services.entries()) {
      directory.assignAnew(service, nowMs);
      this.queueOf(service).scaleSupply(before[index]!, directory.countSlots(service));
      this.serve(service, nowMs);
      this.tellDemand(service, nowMs);
    }
  }

  /** Binds the request now if a slot is free; otherwise it waits in order. */
  submit(request: DispatchRequest, nowMs: number): void {
    const { service, allowedRegions } = request;
    for (const reason of this.directory.restrictions(service, allowedRegions)) {
      this.ports.onKept(reason);
    }
    this.queueOf(request.service).add(request, nowMs);
    this.serve(request.service, nowMs);
  }

  /** How long a request of the service waits before engines of other regions are used, in milliseconds. */
  farPatienceMs(service: string): number {
    return this.directory.reachOf(service).farPatienceMs;
  }

  /** Serves what waits for a service; some of it may have waited long enough to go farther. */
  review(service: string, nowMs: number): void {
    this.serve(service, nowMs);
  }

  /** A back end said something of itself: others take its place if it leaves, and what waits may be served now. */
  followCondition({ backend }: KnownBackend, nowMs: number): void {
    this.directory.assign(backend.service);
    this.directory.reviewReach(backend.service);
    this.serve(backend.service, nowMs);
  }

  /** Takes a waiting request back. */
  withdraw(request: DispatchRequest, nowMs: number): void {
    if (this.remove(request)) {
      this.queueOf(request.service).settle(nowMs);
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
    if (outcome === 'unreachable') {
      known.cold.suspect('was-gone', nowMs);
    }
    if (known.health.learn(outcome, nowMs)) {
      this.ports.onEjected(backendId);
      this.directory.reviewReach(known.backend.service);
    }
    const hasFailed = failureOf(outcome);
    if (hasFailed !== undefined) {
      known.noteOutcome(hasFailed, nowMs);
    }
    const isSilent = outcome === 'silent';
    // Others may reach what is silent here: the agent is told so, not that the back end failed.
    const released: SlotReleased = isSilent
      ? { kind: 'released', isSilent }
      : { kind: 'released', hasFailed };
    this.sendToAgent(backendId, known, released);
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

  /** Whether a request that is sent to the back end now meets it cold. */
  isCold(backendId: string, nowMs: number): boolean {
    const known = this.directory.find(backendId);
    return known !== undefined && this.ports.coldStarts.isCold(known, nowMs);
  }

  /** The first event came: the back end answers. */
  noteFirst(backendId: string): void {
    const known = this.directory.find(backendId);
    if (known?.availability === 'trial') {
      this.sendToAgent(backendId, known, { kind: 'proven' });
    }
  }

  /** Learns from the time to the first event how fast a back end reads prompts. */
  learnFirst(backendId: string, promptTokens: number, firstMs: number): void {
    const known = this.directory.find(backendId);
    if (known === undefined) {
      return;
    }
    const wasKnown = known.speed.isKnown;
    known.speed.learnFirst(promptTokens, known.withoutWay(firstMs));
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
      failureShare: 0,
      availability: 'open',
      // Until the agent's first word nothing is known of the engine.
      grantsOnly: 'cold',
      hasSpoken: false,
    };
    this.tellDemand(known.backend.service, nowMs);
  }

  /** The connection to the agent of a back end is gone. */
  disconnectAgent(backendId: string, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known !== undefined) {
      if (known.agent?.grantsOnly === 'cold' && known.agent.hasSpoken) {
        known.cold.suspect('agent-lost', nowMs);
      }
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
      known.agent.hasSpoken = true;
      known.agent.occupied = message.occupied;
      known.agent.failureShare = message.failureShare;
      known.agent.homes = message.homes;
      known.agent.grantsOnly = message.grantsOnly;
      if (message.hasEnded === true) {
        this.ports.onEnded?.(backendId);
      }
      this.noteAvailability(known, known.agent, message.availability, nowMs);
      known.adopt(message.speed);
      known.roundTrip.adopt(message.roundTripMs ?? known.roundTrip.ms);
      const { messagesSeen } = message;
      known.agent.takenUnseen = known.agent.takenUnseen.filter((number) => number > messagesSeen);
      this.serve(known.backend.service, nowMs);
      return;
    }
    known.agent.grantsSeen += 1;
    this.useGrant(known, message, nowMs);
  }

  /** Serves what waits; to be called now and then, since ejections end with time alone. */
  tick(nowMs: number): void {
    this.ports.coldStarts.review(this.directory.list(), nowMs);
    for (const [service, queue] of this.waiting) {
      this.directory.reviewReach(service);
      const backends = this.directory.ofService(service);
      const gateways = this.ports.countGateways();
      queue.limitSupply(this.ports.coldStarts.supplyPerMs(backends, gateways, nowMs));
      this.serve(service, nowMs);
    }
  }

  private noteAvailability(
    known: KnownBackend,
    agent: SlotAgentLink,
    availability: EngineAvailability,
    nowMs: number,
  ): void {
    if (agent.availability === availability) {
      return;
    }
    if (agent.availability === 'closed') {
      known.cold.suspect('was-gone', nowMs);
    }
    agent.availability = availability;
    if (availability === 'open') {
      known.health.forget();
    }
    this.directory.reviewReach(known.backend.service);
    this.ports.onAvailability(known.backend, availability);
  }

  private useGrant(known: KnownBackend, grant: SlotGranted, nowMs: number): void {
    const backendId = known.backend.id;
    const queue = this.waitingInOrder(known.backend.service, nowMs);
    const isStale = this.ports.coldStarts.isStale(known, grant.heardAtMs, nowMs);
    const isUsable =
      !isStale &&
      known.isReady &&
      known.availability !== 'closed' &&
      !known.health.isEjected(nowMs);
    const request = isUsable
      ? this.chooser.chooseForGrant(queue, known, grant.homeOwner, nowMs)
      : undefined;
    if (request === undefined) {
      if (isStale) {
        this.tellDemandAnew(known, nowMs);
      } else if (!this.chooser.mayBeGranted(known, nowMs)) {
        // The agent would grant the same again until it is told that nothing waits for it any more.
        this.tellDemand(known.backend.service, nowMs);
      }
      this.sendToAgent(backendId, known, { kind: 'grant-returned' });
      return;
    }
    this.sendToAgent(backendId, known, { kind: 'grant-used' });
    this.remove(request);
    this.bind(request, known, nowMs, true);
    this.queueOf(request.service).settle(nowMs);
    this.tellDemand(known.backend.service, nowMs);
  }

  private serve(service: string, nowMs: number): void {
    const queue = this.waitingInOrder(service, nowMs);
    if (queue.length === 0) {
      return;
    }
    this.chooser.wantRights(service, queue, nowMs);
    for (const request of queue) {
      if (!this.chooser.hasAnyRoom(service, nowMs)) {
        break;
      }
      const chosen = this.chooser.choose(request, nowMs);
      if (chosen !== undefined && this.remove(request)) {
        this.bind(request, chosen, nowMs, false);
      }
    }
    this.queueOf(service).settle(nowMs);
    this.tellDemand(service, nowMs);
  }

  private bind(
    request: DispatchRequest,
    known: KnownBackend,
    nowMs: number,
    isGranted: boolean,
  ): void {
    this.ports.sendRights?.use(known.backend.id);
    this.queueOf(request.service).noteBound(nowMs);
    known.outstanding += 1;
    known.path.noteSent(nowMs);
    known.pendingPromptTokens += request.promptTokens;
    if (!isGranted && known.agent !== undefined) {
      const stated = statedHomes(request, known.agent);
      this.sendToAgent(known.backend.id, known, { kind: 'taken', ...stated });
      known.agent.takenUnseen.push(known.agent.messagesSent);
    }
    if (!isGranted) {
      this.ports.coldStarts.noteStart(known, nowMs);
    }
    this.ports.onSent(known.backend);
    request.onPlaced(known.backend, nowMs);
  }

  private queueOf(service: string): ServiceQueue {
    const known = this.waiting.get(service) ?? new ServiceQueue();
    this.waiting.set(service, known);
    return known;
  }

  private remove(request: DispatchRequest): boolean {
    return this.waiting.get(request.service)?.remove(request) ?? false;
  }

  private waitingInOrder(service: string, nowMs: number): readonly DispatchRequest[] {
    return this.waiting.get(service)?.inOrder(nowMs) ?? [];
  }

  private mayCross(request: DispatchRequest, nowMs: number): boolean {
    const { service, allowedRegions } = request;
    const isFromElsewhere = allowedRegions?.has(this.directory.region) === false;
    return isFromElsewhere || hasWaitedForNear(request, this.directory.reachOf(service), nowMs);
  }

  private tellDemand(service: string, nowMs: number): void {
    const inputs = {
      mayCross: (request: DispatchRequest) => this.mayCross(request, nowMs),
      waiting: this.waitingInOrder(service, nowMs),
      maxLength: this.options.demandLength,
      isOpen: (known: KnownBackend) => this.chooser.mayBeGranted(known, nowMs),
      fits: (request: DispatchRequest, known: KnownBackend) => this.chooser.fits(request, known),
    };
    for (const known of this.directory.ofService(service)) {
      const demand = nextDemand(known, inputs, nowMs);
      if (demand !== undefined) {
        const note = this.ports.coldStarts.noteFor(known, nowMs);
        this.sendToAgent(known.backend.id, known, { ...demand, ...note });
      }
    }
  }

  /**
   * The agent took the request for served that it granted a slot for, and nothing changed here: it is told again,
   * before the slot is given back, so that it grants that on a word that is new.
   */
  private tellDemandAnew(known: KnownBackend, nowMs: number): void {
    if (known.agent !== undefined) {
      known.agent.lastDemand = UNTOLD_DEMAND;
      this.tellDemand(known.backend.service, nowMs);
    }
  }

  private sendToAgent(backendId: string, known: KnownBackend, message: SlotMessage): void {
    if (known.agent !== undefined) {
      known.agent.messagesSent += 1;
      this.ports.sendToAgent(backendId, message);
    }
  }
}

/** Whether an attempt shows that its back end failed; undefined where its end says nothing of that. */
function failureOf(outcome: AttemptOutcome): boolean | undefined {
  if (outcome === 'answered') {
    return false;
  }
  const isFailure = outcome === 'failed' || outcome === 'silent' || outcome === 'unreachable';
  return isFailure ? true : undefined;
}
