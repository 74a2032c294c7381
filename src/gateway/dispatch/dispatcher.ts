/**
 * Binds waiting requests to backends, without I/O.
 *
 * A request is sent at once while a permitted backend has a free slot. Otherwise it waits in a
 * queue ordered by tier, and a demand message lists the first waiting requests to the agents of the
 * backends. An agent grants a slot as soon as one is free; the gateway then binds the request that
 * is first in the queue at that time.
 */
import { BackendPicker } from './backend-picker.js';
import type { BackendPickerOptions, BackendPickerPorts } from './backend-picker.js';
import type { BackendDirectory } from './backend-directory.js';
import type { Backend } from '../../routing/backend.js';
import type { RestrictionReason } from '../../routing/backend-restriction.js';
import type {
  AgentSlotMessage,
  SlotGranted,
  GatewaySlotMessage,
  SlotReleased,
  SlotState,
} from '../../slot-agent/slot-messages.js';
import type { EngineAvailability } from '../../slot-agent/engine-health.js';
import type { AttemptOutcome } from './backend-health.js';
import { placementRefusalOf } from './placement-refusal.js';
import type { PlacementRefusalReason } from './placement-refusal.js';
import type { DispatchRequest, PlacementConstraints } from './dispatch-request.js';
import type { KnownBackend, SlotAgentLink } from './known-backend.js';
import { hasWaitedForLocalRegion } from './region-fallback.js';
import { nextDemand, UNSENT_DEMAND } from './slot-demand.js';
import { regionConstraintsOf } from './region-constraint-fields.js';
import type { RequestRestrictionReason } from './request-restriction.js';
import { ServiceQueue } from './service-queue.js';

/** Options of a dispatcher. */
export interface DispatcherOptions extends BackendPickerOptions {
  /** Maximum number of waiting requests that a demand lists. Default 8. */
  readonly demandLength: number;
}

/** Default options of a dispatcher. */
export const DEFAULT_DISPATCHER_OPTIONS: DispatcherOptions = {
  demandLength: 8,
  shareWithoutAgent: 1.25,
  unlistedGraceMs: 1_500,
};

/** Dependencies of a dispatcher. */
export interface DispatcherPorts extends BackendPickerPorts {
  /** Sends a message to the agent of a backend. */
  sendToAgent(backendId: string, message: GatewaySlotMessage): void;
  /** Called when a request was bound to a backend and is sent there. */
  onSent(backend: Backend): void;
  /** Called when a backend was ejected for its failures. */
  onEjected(backendId: string): void;
  /** Called once per reason when operator rules exclude ready backends for a request. */
  onRestricted(reason: RestrictionReason): void;
  /** Called when the agent of a backend reports a change of its availability. */
  onAvailability(backend: Backend, availability: EngineAvailability): void;
  /** Called when the agent of a backend reports that nothing listens at its address. */
  onEnded?(backendId: string): void;
  /**
   * Called when a process was found at the address of a backend that started after the announced
   * one, so that it may run other software.
   */
  onUnannouncedProcess?(known: KnownBackend): void;
}

/** Wait estimates for the requests of a service. */
export type WaitForecast = Pick<
  ServiceQueue,
  'expectedWaitMs' | 'expectedLateWaitMs' | 'expectedRecoveryMs'
>;

/** Binds waiting requests to backends. */
export class Dispatcher {
  private readonly waiting = new Map<string, ServiceQueue>();
  private readonly picker: BackendPicker;

  constructor(
    private readonly directory: BackendDirectory,
    private readonly ports: DispatcherPorts,
    private readonly options: DispatcherOptions = DEFAULT_DISPATCHER_OPTIONS,
  ) {
    this.picker = new BackendPicker(directory, ports, options);
  }

  /** Returns the wait estimates of a service. */
  forecastOf(service: string): WaitForecast {
    return this.queueOf(service);
  }

  /** Returns the number of waiting requests by service. */
  waitingByService(): Map<string, number> {
    return new Map([...this.waiting].map(([service, queue]) => [service, queue.length]));
  }

  /** Returns the number of requests that wait for a service. */
  countWaiting(service: string): number {
    return this.waiting.get(service)?.length ?? 0;
  }

  /**
   * Returns why no backend can serve the request, whatever it waits for; undefined if one can.
   */
  placementRefusal(
    request: PlacementConstraints,
    nowMs: number,
  ): PlacementRefusalReason | undefined {
    return placementRefusalOf(request, () => this.picker.hasCandidates(request, nowMs));
  }

  /** Returns why a backend is excluded for the request; undefined where it is not. */
  restriction(
    request: PlacementConstraints,
    known: KnownBackend,
  ): RequestRestrictionReason | undefined {
    return this.picker.restriction(request, known);
  }

  /** Returns the region of a zone; undefined for an unknown zone. */
  regionOf(zone: string): string | undefined {
    return this.ports.regionOf(zone);
  }

  /** Whether a backend that is not in `excluded` is ready and permitted by operators. */
  hasReady(request: PlacementConstraints, excluded: ReadonlySet<string>): boolean {
    return this.directory
      .ofService(request.service)
      .some(
        (known) =>
          known.isReady &&
          !excluded.has(known.backend.id) &&
          this.picker.isPermitted(request, known),
      );
  }

  /**
   * Like `hasReady`, but also skips backends in backoff, so that the request need not wait for one
   * to end.
   */
  hasAvailable(
    request: PlacementConstraints,
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): boolean {
    const resting = this.directory
      .ofService(request.service)
      .filter(({ condition }) => condition.isInBackoff(nowMs))
      .map(({ backend }) => backend.id);
    return this.hasReady(
      request,
      resting.length === 0 ? excluded : new Set([...excluded, ...resting]),
    );
  }

  /** Like `hasAvailable`, but also skips backends that are closed or on a suspect path. */
  hasReachable(
    request: PlacementConstraints,
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): boolean {
    const suspectOrClosed = this.directory
      .ofService(request.service)
      .filter(({ path, availability }) => path.isSuspect || availability === 'closed')
      .map(({ backend }) => backend.id);
    return this.hasAvailable(request, new Set([...excluded, ...suspectOrClosed]), nowMs);
  }

  /** Whether a healthy backend that is not in `excluded` has a free slot for the request. */
  hasCapacity(
    request: PlacementConstraints,
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): boolean {
    return this.picker.hasCapacityFor(request, excluded, nowMs);
  }

  /**
   * Whether the request, which does not wait yet, would be bound at once if it were submitted: a
   * free slot suits it, and none suits those that are ordered before it.
   */
  canPlace(request: DispatchRequest, nowMs: number): boolean {
    const isPlaceable = (candidate: DispatchRequest) =>
      this.picker.pick(candidate, nowMs) !== undefined;
    return (
      isPlaceable(request) &&
      !this.queueOf(request.service).before(request, nowMs).some(isPlaceable)
    );
  }

  /** Applies a backend's newest announcement; see `BackendDirectory.update`. */
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
   * Applies a change of operator rules through `apply`. The supply estimate of each service is
   * scaled to its remaining slots at once, and waiting requests are bound to whatever is permitted
   * now.
   */
  changeOrders(apply: () => void, nowMs: number): void {
    const { directory } = this;
    const slotsBefore = directory.services.map((service) => directory.countSlots(service));
    apply();
    for (const [index, service] of directory.services.entries()) {
      directory.updateSubsetAfterOperatorChange(service, nowMs);
      this.queueOf(service).scaleSupply(slotsBefore[index]!, directory.countSlots(service));
      this.serve(service, nowMs);
      this.sendDemand(service, nowMs);
    }
  }

  /** Binds the request if a slot is free; otherwise queues it. */
  submit(request: DispatchRequest, nowMs: number): void {
    const { service, allowedRegions } = request;
    for (const reason of this.directory.restrictions(service, allowedRegions)) {
      this.ports.onRestricted(reason);
    }
    this.queueOf(request.service).add(request, nowMs);
    this.serve(request.service, nowMs);
  }

  /**
   * Returns how long a request of the service waits before engines of other regions are used, in
   * milliseconds.
   */
  remoteDelayMs(service: string): number {
    return this.directory.regionAvailability(service).remoteDelayMs;
  }

  /**
   * Serves the queue of a service again; requests in it may have waited long enough for other
   * regions.
   */
  serveAgain(service: string, nowMs: number): void {
    this.serve(service, nowMs);
  }

  /**
   * Reacts to a changed statement of a backend: reselects the subset in case it is draining, and
   * serves the queue in case it accepts requests again.
   */
  handleConditionChange({ backend }: KnownBackend, nowMs: number): void {
    this.directory.updateSubset(backend.service);
    this.directory.updateRegionAvailability(backend.service);
    this.serve(backend.service, nowMs);
  }

  /** Removes a waiting request. */
  withdraw(request: DispatchRequest, nowMs: number): void {
    if (this.remove(request)) {
      this.queueOf(request.service).settle(nowMs);
      this.sendDemand(request.service, nowMs);
    }
  }

  /** Records the end of an attempt and releases its slot. */
  finish(backendId: string, outcome: AttemptOutcome, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known === undefined) {
      return;
    }
    known.outstanding = Math.max(0, known.outstanding - 1);
    if (outcome === 'unreachable') {
      known.noteProcessEnded();
      known.cold.assumeCold('was-gone', nowMs);
    }
    if (known.health.noteOutcome(outcome, nowMs)) {
      this.ports.onEjected(backendId);
      this.directory.updateRegionAvailability(known.backend.service);
    }
    const hasFailed = failureOf(outcome);
    if (hasFailed !== undefined) {
      known.noteOutcome(hasFailed, nowMs);
    }
    const isSilent = outcome === 'silent';
    // The backend may be reachable for other gateways, so the attempt is reported to the agent as
    // silent, not as failed.
    const released: SlotReleased = isSilent
      ? { kind: 'released', isSilent }
      : { kind: 'released', hasFailed };
    this.sendToAgent(backendId, known, released);
    if (outcome === 'answered') {
      this.sendToAgent(backendId, known, { kind: 'speed', speed: known.learned });
    }
    this.serve(known.backend.service, nowMs);
  }

  /**
   * Records that the first event arrived or never will, so that the prompt no longer delays others.
   */
  notePromptDone(backendId: string, promptTokens: number): void {
    const known = this.directory.find(backendId);
    if (known !== undefined) {
      known.pendingPromptTokens = Math.max(0, known.pendingPromptTokens - promptTokens);
    }
  }

  /** Updates a backend's speed estimate from a whole response. */
  learnSpeed(backendId: string, units: number, elapsedMs: number): void {
    this.directory.find(backendId)?.learnSpeed(units, elapsedMs);
  }

  /** Whether a request sent to the backend now would find it cold. */
  isCold(backendId: string, nowMs: number): boolean {
    const known = this.directory.find(backendId);
    return known !== undefined && this.ports.coldStarts.isCold(known, nowMs);
  }

  /**
   * Reports the first event to the agent of a backend on trial: it shows that the backend works.
   */
  noteFirstEvent(backendId: string): void {
    const known = this.directory.find(backendId);
    if (known?.availability === 'trial') {
      this.sendToAgent(backendId, known, { kind: 'proven' });
    }
  }

  /** Updates a backend's prompt speed estimate from the time to the first event. */
  learnFirstEventTime(backendId: string, promptTokens: number, firstMs: number): void {
    const known = this.directory.find(backendId);
    if (known === undefined) {
      return;
    }
    const wasKnown = known.speed.isKnown;
    known.speed.learnFirstEventTime(promptTokens, known.withoutRoundTrip(firstMs));
    if (!wasKnown && known.speed.isKnown) {
      this.sendToAgent(backendId, known, { kind: 'speed', speed: known.learned });
    }
  }

  /** Updates the estimate of the interval between events of a backend. */
  learnEventInterval(backendId: string, pauseMs: number): void {
    this.directory.find(backendId)?.speed.learnEventInterval(pauseMs);
  }

  /** Records an established connection to the agent of a backend. */
  connectAgent(backendId: string, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known === undefined) {
      return;
    }
    known.agent = {
      occupied: known.outstanding,
      messagesSent: 0,
      unacknowledgedTakes: [],
      grantsSeen: 0,
      lastDemandKey: '',
      failureShare: 0,
      availability: 'open',
      // Assumes a cold engine until the agent's first state message.
      grantsOnly: 'cold',
      hasReportedState: false,
    };
    this.sendDemand(known.backend.service, nowMs);
  }

  /** Records the loss of the connection to the agent of a backend. */
  disconnectAgent(backendId: string, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known !== undefined) {
      if (known.agent?.grantsOnly === 'cold' && known.agent.hasReportedState) {
        known.cold.assumeCold('agent-lost', nowMs);
      }
      known.agent = undefined;
      known.endAgentWait();
      this.serve(known.backend.service, nowMs);
    }
  }

  /** Handles a message from the agent of a backend. */
  receiveFromAgent(backendId: string, message: AgentSlotMessage, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known?.agent === undefined) {
      return;
    }
    if (message.kind === 'state') {
      known.agent.hasReportedState = true;
      known.agent.occupied = message.occupied;
      known.agent.failureShare = message.failureShare;
      known.agent.homes = message.homes;
      known.agent.grantsOnly = message.grantsOnly;
      this.ports.coldStarts.applyAgentState(known, message, nowMs);
      if (message.hasEnded !== true && message.bornAtMs !== undefined) {
        this.noteRunningProcess(known, message.bornAtMs, nowMs);
      } else if (message.hasEnded === true && known.isBornBefore(message.endedBornBeforeMs)) {
        known.noteProcessEnded();
        this.ports.onEnded?.(backendId);
      }
      this.noteAvailability(known, known.agent, message, nowMs);
      known.adoptLearned(message.speed);
      known.roundTrip.replaceEstimate(message.roundTripMs ?? known.roundTrip.ms);
      const { messagesSeen } = message;
      known.agent.unacknowledgedTakes = known.agent.unacknowledgedTakes.filter(
        (number) => number > messagesSeen,
      );
      this.serve(known.backend.service, nowMs);
      return;
    }
    known.agent.grantsSeen += 1;
    this.useGrant(known, message, nowMs);
  }

  /**
   * Serves all queues. Must be called periodically, since ejections end by the passing of time
   * alone.
   */
  tick(nowMs: number): void {
    this.ports.coldStarts.reportChanges(this.directory.list(), nowMs);
    for (const [service, queue] of this.waiting) {
      this.directory.updateRegionAvailability(service);
      const backends = this.directory.ofService(service);
      const gateways = this.ports.countGateways();
      queue.limitSupply(this.ports.coldStarts.expectedStartsPerMs(backends, gateways, nowMs));
      this.serve(service, nowMs);
    }
  }

  /** Records the start time of the process that was found to answer at a backend's address. */
  noteProcess(backendId: string, bornAtMs: number, nowMs: number): void {
    const known = this.directory.find(backendId);
    if (known !== undefined) {
      this.noteRunningProcess(known, bornAtMs, nowMs);
    }
  }

  private noteRunningProcess(known: KnownBackend, bornAtMs: number, nowMs: number): void {
    if (known.noteRunningProcess(bornAtMs)) {
      known.cold.assumeCold('was-gone', nowMs);
      this.ports.onUnannouncedProcess?.(known);
    }
  }

  private noteAvailability(
    known: KnownBackend,
    agent: SlotAgentLink,
    { availability, bornAtMs, hasEnded }: SlotState,
    nowMs: number,
  ): void {
    const wasClosed = agent.availability === 'closed';
    const runningBornAtMs = hasEnded === true ? undefined : bornAtMs;
    const isSameProcess = runningBornAtMs !== undefined && runningBornAtMs === agent.closedBornAtMs;
    if (availability === 'closed') {
      agent.closedBornAtMs = !wasClosed || isSameProcess ? runningBornAtMs : undefined;
    }
    if (agent.availability === availability) {
      return;
    }
    if (wasClosed && !isSameProcess) {
      known.cold.assumeCold('was-gone', nowMs);
    }
    agent.availability = availability;
    if (availability === 'open') {
      known.health.reset();
    }
    this.directory.updateRegionAvailability(known.backend.service);
    this.ports.onAvailability(known.backend, availability);
  }

  private useGrant(known: KnownBackend, grant: SlotGranted, nowMs: number): void {
    const backendId = known.backend.id;
    const queue = this.waitingInOrder(known.backend.service, nowMs);
    const isStale = this.ports.coldStarts.isStaleGrant(known, grant.heardAtMs, nowMs);
    const isUsable =
      !isStale &&
      known.isReady &&
      known.availability !== 'closed' &&
      !known.health.isEjected(nowMs);
    const request = isUsable
      ? this.picker.pickForGrant(queue, known, grant.homeOwner, nowMs)
      : undefined;
    if (request === undefined) {
      if (isStale) {
        this.resendDemand(known, nowMs);
      } else if (!this.picker.mayUseGrants(known, nowMs)) {
        // Without an updated demand the agent would issue the same grant again.
        this.sendDemand(known.backend.service, nowMs);
      }
      this.sendToAgent(backendId, known, { kind: 'grant-returned' });
      return;
    }
    this.sendToAgent(backendId, known, { kind: 'grant-used' });
    this.remove(request);
    this.bind(request, known, nowMs, true);
    this.queueOf(request.service).settle(nowMs);
    this.sendDemand(known.backend.service, nowMs);
  }

  private serve(service: string, nowMs: number): void {
    const queue = this.waitingInOrder(service, nowMs);
    if (queue.length === 0) {
      return;
    }
    this.picker.requestSendRights(service, queue, nowMs);
    for (const request of queue) {
      if (!this.picker.hasAnyCapacity(service, nowMs)) {
        break;
      }
      const chosen = this.picker.pick(request, nowMs);
      if (chosen !== undefined && this.remove(request)) {
        this.bind(request, chosen, nowMs, false);
      }
    }
    this.queueOf(service).settle(nowMs);
    this.sendDemand(service, nowMs);
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
      const regionConstraints = regionConstraintsOf(request, known.agent);
      this.sendToAgent(known.backend.id, known, { kind: 'taken', ...regionConstraints });
      known.agent.unacknowledgedTakes.push(known.agent.messagesSent);
    }
    if (!isGranted) {
      this.ports.coldStarts.noteStart(known, nowMs);
    }
    this.ports.onSent(known.backend);
    request.onPlaced(known.backend, nowMs, known.softwareVersion);
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

  private mayUseRemoteRegion(request: DispatchRequest, nowMs: number): boolean {
    const { service, allowedRegions } = request;
    const isLocalRegionExcluded = allowedRegions?.has(this.directory.region) === false;
    return (
      isLocalRegionExcluded ||
      hasWaitedForLocalRegion(request, this.directory.regionAvailability(service), nowMs)
    );
  }

  private sendDemand(service: string, nowMs: number): void {
    const inputs = {
      mayUseRemoteRegion: (request: DispatchRequest) => this.mayUseRemoteRegion(request, nowMs),
      waiting: this.waitingInOrder(service, nowMs),
      maxLength: this.options.demandLength,
      mayUseGrants: (known: KnownBackend) => this.picker.mayUseGrants(known, nowMs),
      canUseGrant: (request: DispatchRequest, known: KnownBackend) =>
        this.picker.canUseGrant(request, known, nowMs),
    };
    for (const known of this.directory.ofService(service)) {
      const demand = nextDemand(known, inputs, nowMs);
      if (demand !== undefined) {
        const coldStartInfo = this.ports.coldStarts.demandInfo(known, nowMs);
        this.sendToAgent(known.backend.id, known, { ...demand, ...coldStartInfo });
      }
    }
  }

  /**
   * Sends the demand again after a stale grant. The agent considers the request of that grant
   * served, but the demand here is unchanged, so `nextDemand` would skip it. Sent before the slot
   * is returned, so that the next grant is based on a current demand.
   */
  private resendDemand(known: KnownBackend, nowMs: number): void {
    if (known.agent !== undefined) {
      known.agent.lastDemandKey = UNSENT_DEMAND;
      this.sendDemand(known.backend.service, nowMs);
    }
  }

  private sendToAgent(backendId: string, known: KnownBackend, message: GatewaySlotMessage): void {
    if (known.agent !== undefined) {
      known.agent.messagesSent += 1;
      this.ports.sendToAgent(backendId, message);
    }
  }
}

/**
 * Whether an attempt shows that its backend failed (true) or works (false); undefined for neither.
 */
function failureOf(outcome: AttemptOutcome): boolean | undefined {
  if (outcome === 'answered') {
    return false;
  }
  const isFailure = outcome === 'failed' || outcome === 'silent' || outcome === 'unreachable';
  return isFailure ? true : undefined;
}
