/** State that a gateway tracks for one backend: its announcement, health, speed and slots. */
import type { Backend } from '../../routing/backend.js';
import type { EngineAvailability } from '../../slot-agent/engine-health.js';
import type { GrantsOnlyReason } from '../../slot-agent/start-limiter.js';
import { ColdStartTracker } from '../../routing/cold-start.js';
import type { Distance } from '../../routing/zone-topology.js';
import { RoundTripEstimate } from '../../round-trip.js';
import type { AgentRegionInfo, SpeedEstimates } from '../../slot-agent/slot-messages.js';
import { FailureEstimate } from '../../slot-agent/failure-estimate.js';
import {
  softwareVersionOf,
  softwareVersionOfProcess,
  UNIDENTIFIED_VERSION,
} from '../../streams/software-version.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import { BackendCondition } from '../statements/backend-condition.js';
import { BackendHealth } from './backend-health.js';
import { EngineSpeed } from './engine-speed.js';
import { PathState } from './path-state.js';

const SPEED_SMOOTHING = 0.15;
/**
 * Time allowed for the connection to the agent of a new engine, in milliseconds, in addition to the
 * network round trips: a machine without an agent refuses it within two milliseconds, a busy
 * gateway opens it within some tens.
 */
const AGENT_CONNECT_MS = 150;
/** Round trips until the agent's first state message: the connection setup and the hello. */
const AGENT_ROUND_TRIPS = 2;

/** The gateway's side of the connection to a slot agent. */
export interface SlotAgentLink {
  /** Number of occupied slots in the agent's last state message. */
  occupied: number;
  /** Whether the agent has sent a state message on this connection. */
  hasReportedState: boolean;
  /** Number of messages sent to the agent after the hello. */
  messagesSent: number;
  /** Sequence numbers of `taken` messages that `occupied` does not include yet. */
  unacknowledgedTakes: number[];
  /** Number of grants received on this connection. */
  grantsSeen: number;
  /** Key of the last demand sent; empty while no requests were listed. */
  lastDemandKey: string;
  /** Recent failure rate over the requests of all gateways, from the agent's last state message. */
  failureShare: number;
  /** Whether the engine may be used, from the agent's last state message. */
  availability: EngineAvailability;
  /**
   * Start time of the process of an engine that its agent closed; undefined if another process may
   * have followed it.
   */
  closedBornAtMs?: number | undefined;
  /**
   * Region and configuration version from the agent's last state message; undefined while its
   * configuration restricts no request to regions.
   */
  homes?: AgentRegionInfo | undefined;
  /**
   * Why free slots are available by grant only, from the agent's last state message; undefined
   * while they may be taken without one. Ignored for services without a start rate limit.
   */
  grantsOnly: GrantsOnlyReason | undefined;
}

/** Tracks one backend. */
export class KnownBackend {
  readonly health = new BackendHealth();
  readonly speed = new EngineSpeed();
  /** Cold-start state since its last known start. */
  readonly cold = new ColdStartTracker();
  readonly path = new PathState();
  /** Measured network round-trip time. */
  readonly roundTrip: RoundTripEstimate;
  /** Prompt tokens sent by this gateway whose first event is pending. */
  pendingPromptTokens = 0;
  /** Number of this gateway's requests that are active there. */
  outstanding = 0;
  /**
   * Whether it is in this gateway's subset; others are used only when the whole subset is
   * unavailable.
   */
  isInSubset = true;
  /** Undefined while no agent is connected. */
  agent: SlotAgentLink | undefined;
  /** When it was removed from the list; undefined while it is listed. */
  unlistedAtMs: number | undefined;
  /**
   * Whether its record no longer describes a usable backend. It must then not be used even as a
   * last resort.
   */
  isWithdrawn = false;
  /** Whether another incarnation was found at its address. */
  hasEnded = false;
  /** Whether it has ended, or a later incarnation was announced at its address. */
  isReplaced = false;
  /** How often its process was seen to end since its announcement. */
  private restarts = 0;
  /** Whether the latest process that is known has ended, and none was seen in its place. */
  private hasProcessEnded = false;
  /** Start time of the latest process seen that started after the announced one. */
  private laterBornAtMs: number | undefined;
  private learnedMsPerUnit: number | undefined;
  private readonly ownFailureRate = new FailureEstimate();

  /** End of the time allowed for its agent to connect. */
  private agentAwaitedUntilMs = 0;

  constructor(
    public backend: Backend,
    learnedAtMs: number,
    /** Network distance from this gateway. */
    readonly distance: Distance = 'same-zone',
    /** Condition stated by the backend: rate limit, draining, backoff. */
    readonly condition = new BackendCondition(),
  ) {
    this.roundTrip = new RoundTripEstimate(distance);
    this.startAgentWait(learnedAtMs);
  }

  /** Whether the first connection to its agent may still be established. */
  isAgentAwaited(nowMs: number): boolean {
    return nowMs < this.agentAwaitedUntilMs;
  }

  /** Starts the time allowed for its agent to connect. */
  startAgentWait(nowMs: number): void {
    this.agentAwaitedUntilMs = nowMs + AGENT_CONNECT_MS + this.roundTrip.ms * AGENT_ROUND_TRIPS;
  }

  /** Ends the wait for its agent, which refused the connection or disconnected. */
  endAgentWait(): void {
    this.agentAwaitedUntilMs = 0;
  }

  /** Version of the software that the process at its address runs, as far as it is known. */
  get softwareVersion(): SoftwareVersion {
    const { backend, latestBornAtMs } = this;
    return latestBornAtMs === undefined
      ? softwareVersionOf(backend, this.restarts)
      : this.versionOfProcess(latestBornAtMs);
  }

  /**
   * Version of the software that the process runs which reports `bornAtMs` as its start time. It is
   * not known for a process that was seen to end: another one with the same start time answers.
   */
  versionOfProcess(bornAtMs: number): SoftwareVersion {
    const { latestBornAtMs = -Infinity } = this;
    const wasSeenToEnd = this.hasProcessEnded && bornAtMs <= latestBornAtMs;
    return wasSeenToEnd ? UNIDENTIFIED_VERSION : softwareVersionOfProcess(this.backend, bornAtMs);
  }

  /** Start time of the latest process that is known; undefined where none is announced. */
  private get latestBornAtMs(): number | undefined {
    return this.laterBornAtMs ?? this.backend.bornAtMs;
  }

  /**
   * Records that its process has ended. If it responds again without a new announcement, it may run
   * other software.
   */
  noteProcessEnded(): void {
    this.restarts += 1;
    this.hasProcessEnded = true;
  }

  /**
   * Records the start time of the process that answered at its address, on that machine's clock;
   * returns whether this shows for the first time that it is a later process than the announced
   * one.
   */
  noteRunningProcess(bornAtMs: number): boolean {
    const { latestBornAtMs = Infinity } = this;
    if (bornAtMs <= latestBornAtMs) {
      return false;
    }
    this.laterBornAtMs = bornAtMs;
    this.hasProcessEnded = false;
    return true;
  }

  /** Whether the process that started at `bornAtMs`, or a later one, was seen at its address. */
  hasSeenProcess(bornAtMs: number | undefined): boolean {
    const { latestBornAtMs } = this;
    return bornAtMs !== undefined && latestBornAtMs !== undefined && latestBornAtMs >= bornAtMs;
  }

  /**
   * Whether it started before `timeMs` on its own clock, as far as is known: reports about earlier
   * processes at its address may arrive after its announcement.
   */
  isBornBefore(timeMs: number | undefined): boolean {
    const { bornAtMs } = this.backend;
    return timeMs === undefined || bornAtMs === undefined || bornAtMs < timeMs;
  }

  /**
   * Whether its start time shows, when it is announced again, that it has run on: without one it may
   * have restarted while it was not announced.
   */
  get isSameProcessWhenRelisted(): boolean {
    const wasSeenToEnd = this.hasProcessEnded && !this.isWithdrawn;
    return this.backend.bornAtMs !== undefined && !wasSeenToEnd;
  }

  /** Applies a new announcement. */
  applyAnnouncement(backend: Backend): void {
    this.backend = backend;
    if (backend.bornAtMs === undefined) {
      this.restarts = 0;
    }
  }

  /** Whether it is listed and the latest incarnation at its address. */
  get isCurrent(): boolean {
    return this.unlistedAtMs === undefined && !this.isReplaced;
  }

  /**
   * Whether it accepts no new requests, by its announcement or by a statement in a response.
   * Announcements are not updated while the store is unavailable.
   */
  get isDraining(): boolean {
    return this.backend.state === 'draining' || this.condition.isLeaving;
  }

  /**
   * Whether it may be about to end and still complete its requests: some backends only remove their
   * announcement before they leave.
   */
  get mayBeLeaving(): boolean {
    return this.isDraining || (this.unlistedAtMs !== undefined && !this.isWithdrawn);
  }

  /** Whether it is listed as accepting new requests. */
  get isReady(): boolean {
    return this.isCurrent && !this.isDraining;
  }

  /** Availability reported by its agent; `open` without one. */
  get availability(): EngineAvailability {
    return this.agent?.availability ?? 'open';
  }

  /**
   * Whether the next request tests if it has recovered; only repeatable requests are risked while
   * others are available.
   */
  get isOnTrial(): boolean {
    return this.availability === 'trial' || this.health.isProbing;
  }

  /** Whether the last demand sent to its agent listed waiting requests. */
  get hasDemand(): boolean {
    return this.agent !== undefined && this.agent.lastDemandKey !== '';
  }

  /** Learned time per unit of work, in milliseconds; undefined before the first response. */
  get msPerUnit(): number | undefined {
    return this.learnedMsPerUnit;
  }

  /** Records that a request of this gateway succeeded or failed there. */
  noteOutcome(hasFailed: boolean, nowMs: number): void {
    this.ownFailureRate.recordOutcome(hasFailed, nowMs);
  }

  /**
   * Returns the recent failure rate, the higher of this gateway's own and the one reported by the
   * agent for all gateways.
   */
  failureShare(nowMs: number): number {
    return Math.max(this.ownFailureRate.share(nowMs), this.agent?.failureShare ?? 0);
  }

  /** Returns an elapsed time without the network round trip. */
  withoutRoundTrip(elapsedMs: number): number {
    return Math.max(0, elapsedMs - this.roundTrip.ms);
  }

  /**
   * Updates the speed estimate from a whole response. Excludes the round trip, so that the estimate
   * is the same for gateways at any distance.
   */
  learnSpeed(units: number, elapsedMs: number): void {
    const sample = this.withoutRoundTrip(elapsedMs) / Math.max(1, units);
    const known = this.learnedMsPerUnit ?? sample;
    this.learnedMsPerUnit = known + SPEED_SMOOTHING * (sample - known);
  }

  get learned(): SpeedEstimates {
    return { ...this.speed.learned, msPerUnit: this.learnedMsPerUnit };
  }

  /** Adopts the estimates of other gateways for values that have no estimate yet. */
  adoptLearned(learned: SpeedEstimates): void {
    this.speed.adoptLearned(learned);
    this.learnedMsPerUnit ??= learned.msPerUnit;
  }

  /**
   * Number of active requests: this gateway's own, or those of all gateways where the agent reports
   * them.
   */
  get occupied(): number {
    return this.agent === undefined
      ? this.outstanding
      : Math.max(this.outstanding, this.agent.occupied + this.agent.unacknowledgedTakes.length);
  }
}
