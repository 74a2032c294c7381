/**
 * Allocates the slots of one backend among gateways, without I/O.
 *
 * It counts the slots that each connected gateway holds, and grants a free one to the gateway whose
 * waiting request has the highest priority. A grant is a short lease: a gateway that leaves one
 * unanswered gets no more until it answers. A gateway whose keepalives are overdue is considered
 * lost until it reconnects; its slots stay occupied only as long as the backend's own status report
 * shows requests that no connected gateway accounts for.
 */
import type { AllowedRegions, RestrictionReason } from '../routing/backend-restriction.js';
import type { RouteAndTenant } from '../routing/region-restrictions.js';
import type { Distance } from '../routing/zone-topology.js';
import { EngineHealth } from './engine-health.js';
import type { ClosedCause, EngineAvailability, EngineProbeResult } from './engine-health.js';
import { FailureEstimate } from './failure-estimate.js';
import { DEFAULT_GATEWAY_TIMEOUT_OPTIONS, GatewaySession, regionsOf } from './gateway-session.js';
import type { GatewayTimeoutOptions, WaitingRequest } from './gateway-session.js';
import type { SlotAgentSnapshot } from './slot-agent-instruments.js';
import type {
  AgentRegionInfo,
  SpeedEstimates,
  AgentSlotMessage,
  SlotHello,
  GatewaySlotMessage,
  SlotTaken,
  RegionConstraints,
} from './slot-messages.js';
import { NoResponseReports } from './no-response-reports.js';
import { SlotStatePublisher } from './slot-state-publisher.js';
import { StartLimiter } from './start-limiter.js';
import type { GrantsOnlyReason, StartRules } from './start-limiter.js';
import { compareWaitingPriority } from './waiting-priority.js';

/**
 * Report that a gateway took a slot for a request that operators' restrictions forbid at the
 * backend.
 */
export interface ForbiddenTake extends RegionConstraints {
  readonly gateway: string;
  readonly reason: RestrictionReason;
}

/** Callbacks of a slot allocator. */
export interface SlotAllocatorPorts {
  /** Sends a message to a connected gateway. */
  send(connection: number, message: AgentSlotMessage): void;
  /** Called when a slot was granted. */
  onGranted(): void;
  /**
   * Called when state changes are pending; the callee invokes `sendChanges` after a short delay.
   */
  onChangesPending(): void;
  /** Called when the backend's status report showed that slots counted as occupied are free. */
  onReconciled(slots: number): void;
  /**
   * Called when the backend must be probed now, after a failed request or one without a response.
   */
  onProbeNeeded(): void;
  /**
   * Called when the availability of the backend or the cause of its closure changed; `startedAtMs`
   * is the start time that its process reported last, on its own clock.
   */
  onAvailability(
    availability: EngineAvailability,
    closedCause: ClosedCause | undefined,
    startedAtMs: number | undefined,
  ): void;
  /** Network distance from a zone to the backend; omitted if distances are unknown. */
  distanceTo?(zone: string): Distance;
  /** Why operators' restrictions forbid a request at the backend; undefined if it is permitted. */
  restriction(
    allowedRegions: AllowedRegions,
    homeOwner?: RouteAndTenant,
  ): RestrictionReason | undefined;
  /** Region information for gateways; undefined while no request is restricted to regions. */
  regionInfo(): AgentRegionInfo | undefined;
  /** Called when a gateway took a free slot for a request that is not permitted at the backend. */
  onForbiddenTake(take: ForbiddenTake): void;
  /** Limits on starting requests at the backend; undefined if the rate is unlimited. */
  startRules(nowMs: number): StartRules | undefined;
  /**
   * Called when the start rate limit delays a waiting request although a slot is free; the callee
   * invokes `resumeGrants` after `resumeInMs`.
   */
  onStartsDelayed(resumeInMs: number): void;
}

/**
 * How long the backend is probed for requests of a disconnected gateway, in milliseconds: the
 * gateway may be cut off from this process only and still send requests.
 */
const DISCONNECTED_GATEWAY_PROBE_MS = 10_000;
/** Part of the engine's health that is sent to gateways immediately when it changes. */
type AvailabilityAndCause = Pick<EngineHealth, 'availability' | 'closedCause'>;

/** Waiting request that gets the next slot. */
interface NextGrant {
  readonly connection: number;
  readonly session: GatewaySession;
  readonly waiting: WaitingRequest;
}

/** Slot allocator of one backend. */
export class SlotAllocator {
  private readonly sessions = new Map<number, GatewaySession>();
  /**
   * Until when the backend is probed for requests of each disconnected gateway, by gateway name.
   */
  private readonly probeDisconnectedUntilMs = new Map<string, number>();
  private slots = 0;
  /** Slots occupied by requests that no connected gateway accounts for. */
  private unaccounted = 0;
  private speed: SpeedEstimates = {};
  private readonly failures = new FailureEstimate();
  private readonly noResponseReports = new NoResponseReports();
  private readonly engineHealth = new EngineHealth();
  private readonly publisher: SlotStatePublisher;
  private readonly startLimiter: StartLimiter;
  private sentGrantsOnly: GrantsOnlyReason | undefined;
  /** Start time that the engine reported last, in Unix milliseconds of its own clock. */
  private engineStartedAtMs: number | undefined;
  /** Every process of the engine that started before this time has ended, if the port is closed. */
  private endedBornBeforeMs: number | undefined;

  constructor(
    private readonly ports: SlotAllocatorPorts,
    private readonly timeouts: GatewayTimeoutOptions = DEFAULT_GATEWAY_TIMEOUT_OPTIONS,
    startedAtMs = 0,
  ) {
    this.startLimiter = new StartLimiter(startedAtMs);
    const counts = {
      occupied: () => this.occupied,
      capacity: () => this.slots,
    };
    this.publisher = new SlotStatePublisher(this.sessions, counts, {
      sendState: (connection, session, nowMs) => this.sendState(connection, session, nowMs),
      onChangesPending: () => ports.onChangesPending(),
    });
  }

  /** Whether a probe is needed, for the engine's health or to reconcile slots. */
  needsProbe(nowMs: number): boolean {
    return this.engineHealth.needsProbe || this.needsReconciliation(nowMs);
  }

  /** Whether the backend may run requests that no connected gateway accounts for. */
  private needsReconciliation(nowMs: number): boolean {
    for (const [name, untilMs] of this.probeDisconnectedUntilMs) {
      if (nowMs > untilMs) {
        this.probeDisconnectedUntilMs.delete(name);
      }
    }
    return this.unaccounted > 0 || this.probeDisconnectedUntilMs.size > 0;
  }

  /** Slot counts for metrics and logs. */
  get snapshot(): SlotAgentSnapshot {
    const { slots, occupied, unaccounted } = this;
    return { slots, occupied, unaccounted, gateways: this.sessions.size };
  }

  /** Log fields of the gateway on a connection; undefined before its hello. */
  describe(connection: number): { gateway: string; held: number; waiting: number } | undefined {
    const session = this.sessions.get(connection);
    return session === undefined
      ? undefined
      : { gateway: session.name, held: session.held, waiting: session.waiting.length };
  }

  /** Whether any gateway must send keepalives. */
  get isAnyKeepaliveExpected(): boolean {
    return [...this.sessions.values()].some((session) => session.isKeepaliveExpected);
  }

  /** Connections of gateways whose keepalives are overdue. */
  findTimedOut(nowMs: number): number[] {
    return [...this.sessions]
      .filter(([, session]) => session.isTimedOut(nowMs, this.timeouts))
      .map(([connection]) => connection);
  }

  /** Whether a gateway sent its hello on the connection. */
  isAdmitted(connection: number): boolean {
    return this.sessions.has(connection);
  }

  /** Slots that connected gateways hold, plus those unaccounted for. */
  get occupied(): number {
    return this.held + this.unaccounted;
  }

  /** Slots of the backend; 0 until the first hello states them. */
  get capacity(): number {
    return this.slots;
  }

  private get held(): number {
    let held = 0;
    for (const session of this.sessions.values()) {
      held += session.held;
    }
    return held;
  }

  /** Handles a message of the gateway on `connection`. */
  receive(connection: number, message: GatewaySlotMessage, nowMs: number): void {
    if (message.kind === 'hello') {
      this.admit(connection, message, nowMs);
    } else {
      this.receiveFromAdmitted(connection, message, nowMs);
    }
    this.grantAndPublish(nowMs);
  }

  /** Grants free slots again, after time or changed rules may have relaxed the start rate limit. */
  resumeGrants(nowMs: number): void {
    this.grantAndPublish(nowMs);
  }

  private grantAndPublish(nowMs: number): void {
    this.grantFreeSlots(nowMs);
    if (this.grantsOnly(nowMs) === this.sentGrantsOnly) {
      this.publisher.publishIfChanged(nowMs);
    } else {
      this.publisher.broadcast(nowMs);
    }
  }

  private grantsOnly(nowMs: number): GrantsOnlyReason | undefined {
    return this.startLimiter.grantsOnly(this.ports.startRules(nowMs), nowMs);
  }

  /** Handles the end of a connection; the requests of its gateway may still run. */
  disconnect(connection: number, nowMs: number): void {
    const session = this.sessions.get(connection);
    if (session === undefined) {
      return;
    }
    this.sessions.delete(connection);
    this.startLimiter.removeConnection(connection);
    this.unaccounted += session.held;
    this.probeDisconnectedUntilMs.set(session.name, nowMs + DISCONNECTED_GATEWAY_PROBE_MS);
    this.publisher.publishIfChanged(nowMs);
  }

  /** Applies the result of a probe. */
  applyProbeResult(result: EngineProbeResult, nowMs: number): void {
    const startedAtMs = startTimeIn(result);
    if (this.hasRestarted(startedAtMs)) {
      // The engine restarted between two probes: publish its exit and its return. Its clock may
      // have been set back in between.
      this.endedBornBeforeMs = Math.max(startedAtMs!, this.engineStartedAtMs! + 1);
      this.applyProbeResult({ kind: 'closed' }, nowMs);
    }
    if (result.kind === 'load') {
      this.noteStartTime(startedAtMs);
    }
    const before = this.availabilityAndCause;
    this.engineHealth.applyProbeResult(result, nowMs);
    this.publishAvailabilityChange(before, nowMs);
    if (result.kind === 'load' && this.needsReconciliation(nowMs)) {
      this.reconcile(result.requests);
    }
    this.grantAndPublish(nowMs);
  }

  private hasRestarted(startedAtMs: number | undefined): boolean {
    const known = this.engineStartedAtMs;
    return startedAtMs !== undefined && known !== undefined && startedAtMs !== known;
  }

  /** Records the start time that the engine reports now; undefined if it reports none. */
  private noteStartTime(startedAtMs: number | undefined): void {
    if (startedAtMs !== this.engineStartedAtMs) {
      this.publisher.forceNextUpdate();
    }
    this.engineStartedAtMs = startedAtMs;
    if (startedAtMs !== undefined) {
      this.endedBornBeforeMs = startedAtMs + 1;
    }
  }

  /**
   * Recomputes unaccounted slots from the backend's own count of requests that run or wait there.
   */
  private reconcile(requestsAtBackend: number): void {
    const before = this.unaccounted;
    this.unaccounted = Math.max(0, requestsAtBackend - this.held);
    if (this.unaccounted < before) {
      this.ports.onReconciled(before - this.unaccounted);
    }
  }

  private admit(connection: number, hello: SlotHello, nowMs: number): void {
    const { gateway, held, slots, zone } = hello;
    for (const [other, session] of this.sessions) {
      if (session.name === gateway) {
        this.disconnect(other, nowMs);
      }
    }
    const distance = zone === undefined ? undefined : this.ports.distanceTo?.(zone);
    this.probeDisconnectedUntilMs.delete(gateway);
    this.slots = slots;
    this.unaccounted = Math.max(0, this.unaccounted - held);
    this.sessions.set(connection, new GatewaySession(gateway, held, nowMs, distance));
    this.publisher.forceNextUpdate();
  }

  private receiveFromAdmitted(
    connection: number,
    message: Exclude<GatewaySlotMessage, { kind: 'hello' }>,
    nowMs: number,
  ): void {
    const session = this.sessions.get(connection);
    if (session === undefined) {
      return;
    }
    session.noteMessage(nowMs);
    switch (message.kind) {
      case 'demand':
        session.clockMs = message.atMs ?? session.clockMs;
        session.setWaiting(message.ranks, message.grantsSeen, nowMs);
        break;
      case 'speed':
        this.mergeSpeed(message.speed);
        break;
      case 'taken':
        session.take();
        this.reportForbiddenTake(session, message);
        this.startLimiter.noteTaken(nowMs);
        break;
      case 'grant-used':
        session.noteGrantAnswered(nowMs);
        this.startLimiter.noteUsed(connection, nowMs);
        break;
      case 'grant-returned':
        session.noteGrantAnswered(nowMs);
        this.startLimiter.noteReturned(connection);
        session.release();
        break;
      case 'released':
        session.release();
        if (message.isSilent === true) {
          this.noteNoResponse(session.name, nowMs);
        } else {
          this.noteOutcome(message.hasFailed, nowMs);
        }
        break;
      case 'proven':
        this.noteEngineResponse(nowMs);
        break;
      case 'alive':
        session.clockMs = message.atMs ?? session.clockMs;
        break;
    }
  }

  /**
   * Reports a take that restrictions forbid; it cannot be undone, since the request is already in
   * flight.
   */
  private reportForbiddenTake({ name: gateway }: GatewaySession, taken: SlotTaken): void {
    const { allowedRegions, homeOwner } = taken;
    const reason = this.ports.restriction(regionsOf(taken), homeOwner);
    if (reason !== undefined) {
      this.ports.onForbiddenTake({ gateway, reason, allowedRegions, homeOwner });
    }
  }

  private noteOutcome(hasFailed: boolean | undefined, nowMs: number): void {
    if (hasFailed === undefined) {
      return;
    }
    this.failures.recordOutcome(hasFailed, nowMs);
    if (!hasFailed) {
      this.noteEngineResponse(nowMs);
      return;
    }
    const before = this.availabilityAndCause;
    this.engineHealth.noteFailure(nowMs);
    this.ports.onProbeNeeded();
    this.publishAvailabilityChange(before, nowMs);
  }

  private noteNoResponse(gateway: string, nowMs: number): void {
    const isEngineFailure = this.noResponseReports.noteNoResponse(gateway, nowMs);
    // A trial request without a response counts as a failure, so that the backoff continues.
    if (isEngineFailure || this.engineHealth.availability === 'trial') {
      this.noteOutcome(true, nowMs);
      return;
    }
    this.engineHealth.requestProbe();
    this.ports.onProbeNeeded();
  }

  private noteEngineResponse(nowMs: number): void {
    this.noResponseReports.noteResponse();
    const before = this.availabilityAndCause;
    this.engineHealth.noteResponse();
    this.publishAvailabilityChange(before, nowMs);
  }

  /** Publishes a changed availability or cause of closure immediately. */
  private publishAvailabilityChange(before: AvailabilityAndCause, nowMs: number): void {
    const { availability, closedCause } = this.engineHealth;
    if (availability !== before.availability || closedCause !== before.closedCause) {
      this.ports.onAvailability(availability, closedCause, this.engineStartedAtMs);
      this.publisher.broadcast(nowMs);
    }
  }

  private get availabilityAndCause(): AvailabilityAndCause {
    const { availability, closedCause } = this.engineHealth;
    return { availability, closedCause };
  }

  /**
   * Merges reported estimates; the first prefill speed is published immediately, later ones with
   * the next state.
   */
  private mergeSpeed(speed: SpeedEstimates): void {
    const isFirst = this.speed.prefill === undefined && speed.prefill !== undefined;
    this.speed = { ...this.speed, ...speed };
    if (isFirst) {
      this.publisher.forceNextUpdate();
    }
  }

  private grantFreeSlots(nowMs: number): void {
    while (this.occupied < this.grantableSlots) {
      const next = this.findFirstWaiting(nowMs);
      if (next === undefined) {
        return;
      }
      const delayMs = this.startLimiter.msUntilGrant(this.ports.startRules(nowMs), nowMs);
      if (delayMs > 0) {
        this.ports.onStartsDelayed(delayMs);
        return;
      }
      const { connection, session, waiting } = next;
      session.grant(waiting, nowMs);
      this.startLimiter.noteGranted(connection, nowMs);
      this.ports.onGranted();
      this.ports.send(connection, toGrantMessage(session, waiting));
    }
  }

  /** Slots that may be occupied now; requests beyond this number continue to run. */
  private get grantableSlots(): number {
    const { availability, isSuspect } = this.engineHealth;
    if (availability === 'closed' || isSuspect) {
      return 0;
    }
    return availability === 'trial' ? 1 : this.slots;
  }

  private findFirstWaiting(nowMs: number): NextGrant | undefined {
    let best: NextGrant | undefined;
    for (const [connection, session] of this.sessions) {
      const waiting = this.firstPermitted(session);
      if (waiting === undefined || session.hasOverdueGrant(nowMs, this.timeouts)) {
        continue;
      }
      if (best === undefined || compareWaitingPriority(waiting, best.waiting, nowMs) < 0) {
        best = { connection, session, waiting };
      }
    }
    return best;
  }

  /** The gateway's first waiting request that restrictions permit here. */
  private firstPermitted({ waiting }: GatewaySession): WaitingRequest | undefined {
    return waiting.find(
      ({ allowedRegions, homeOwner }) => !this.ports.restriction(allowedRegions, homeOwner),
    );
  }

  /** Sends state messages for changes since the last ones. */
  sendChanges(nowMs: number): void {
    this.publisher.publishChanges(nowMs);
  }

  /**
   * Handles changed restrictions: grants newly permitted requests and publishes the state
   * immediately.
   */
  onRestrictionsChanged(nowMs: number): void {
    this.grantFreeSlots(nowMs);
    this.publisher.broadcast(nowMs);
  }

  /** Sends a state message as heartbeat unless one was broadcast in the last `quietMs`. */
  sendHeartbeat(quietMs: number, nowMs: number): void {
    if (this.ports.startRules(nowMs) !== undefined) {
      this.grantAndPublish(nowMs);
    }
    this.publisher.sendHeartbeat(quietMs, nowMs);
  }

  private sendState(connection: number, session: GatewaySession, nowMs: number): void {
    const { occupied, speed } = this;
    const homes = this.ports.regionInfo();
    const grantsOnly = this.grantsOnly(nowMs);
    this.sentGrantsOnly = grantsOnly;
    const countedAnnouncement = this.ports.startRules(nowMs)?.countedAnnouncement;
    const roundTripMs = session.takeRoundTripUpdate();
    this.ports.send(connection, {
      kind: 'state',
      occupied,
      messagesSeen: session.messagesSeen,
      speed,
      ...(roundTripMs === undefined ? {} : { roundTripMs }),
      failureShare: this.failures.share(nowMs),
      availability: this.engineHealth.availability,
      ...(this.engineHealth.closedCause === 'port-closed' && {
        hasEnded: true,
        endedBornBeforeMs: this.endedBornBeforeMs,
      }),
      ...(this.engineStartedAtMs !== undefined && { bornAtMs: this.engineStartedAtMs }),
      ...(homes === undefined ? {} : { homes }),
      ...(grantsOnly && { grantsOnly }),
      ...(countedAnnouncement && { countedAnnouncement }),
    });
  }
}

/** Start time of the engine as reported; undefined if it is missing or no timestamp. */
function startTimeIn(result: EngineProbeResult): number | undefined {
  // Any process may respond at the engine's address.
  const reported = result.kind === 'load' ? result.bornAtMs : undefined;
  return Number.isSafeInteger(reported) ? reported : undefined;
}

function toGrantMessage(
  { clockMs }: GatewaySession,
  { homeOwner }: WaitingRequest,
): AgentSlotMessage {
  return {
    kind: 'granted',
    ...(clockMs === undefined ? {} : { heardAtMs: clockMs }),
    ...(homeOwner === undefined ? {} : { homeOwner }),
  };
}
