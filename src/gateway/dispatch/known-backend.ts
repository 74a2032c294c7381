/** What a gateway knows of one back end: its announcement, its health, its speed and its slots. */
import type { Backend } from '../../routing/backend.js';
import type { EngineAvailability } from '../../slot-agent/engine-watch.js';
import type { GrantsOnly } from '../../slot-agent/start-limiter.js';
import { ColdPeriod } from '../../routing/cold-start.js';
import type { Distance } from '../../routing/places.js';
import { RoundTrip } from '../../round-trip.js';
import type { AgentHomes, LearnedSpeed } from '../../slot-agent/slot-messages.js';
import { FailureEstimate } from '../../slot-agent/failure-estimate.js';
import { BackendCondition } from '../statements/backend-condition.js';
import { BackendHealth } from './backend-health.js';
import { EngineSpeed } from './engine-speed.js';
import { PathState } from './path-state.js';

const SPEED_SMOOTHING = 0.15;
/**
 * Time in which the connection to the agent of a new engine comes up, in milliseconds: a machine
 * without an agent refuses it in two, a busy gateway opens it within some tens. The time of its messages
 * on the way comes on top.
 */
const AGENT_WAIT_MS = 150;
/** Times there and back until the agent has told how things stand: its connection, and the hello. */
const AGENT_ROUND_TRIPS = 2;

/** The gateway's side of its connection to the agent beside a back end. */
export interface SlotAgentLink {
  /** Occupied slots as the agent told last. */
  occupied: number;
  /** Whether the agent said anything on this connection. */
  hasSpoken: boolean;
  /** Messages sent to the agent after the hello. */
  messagesSent: number;
  /** Numbers of the messages by which free slots were taken and that `occupied` does not reflect. */
  takenUnseen: number[];
  /** Grants received on this connection. */
  grantsSeen: number;
  /** The demand that was sent last, as text. */
  lastDemand: string;
  /** Share of the requests of all gateways that failed there lately, as the agent told last. */
  failureShare: number;
  /** Whether the engine may be used, as the agent told last. */
  availability: EngineAvailability;
  /** What the agent knows of homes, as it told last; undefined while none are named. */
  homes?: AgentHomes | undefined;
  /** Why free slots are only granted, as the agent told last; undefined while they may be taken. Without meaning
   * where the rate of starts has no bound. */
  grantsOnly: GrantsOnly | undefined;
}

/** One back end as a gateway knows it. */
export class KnownBackend {
  readonly health = new BackendHealth();
  readonly speed = new EngineSpeed();
  /** What is known of its last start. */
  readonly cold = new ColdPeriod();
  readonly path = new PathState();
  /** The way there and back, as it was measured. */
  readonly roundTrip: RoundTrip;
  /** Tokens of prompts that this gateway sent and whose first event is due. */
  pendingPromptTokens = 0;
  /** Requests of this gateway that are there now. */
  outstanding = 0;
  /** Whether this gateway works with it; others are used only when none of its own is left. */
  isAssigned = true;
  /** Undefined while no agent is connected. */
  agent: SlotAgentLink | undefined;
  /** When it left the list; undefined while it is listed. */
  unlistedAtMs: number | undefined;
  /** Whether its record names no back end any more, so that it must not be used where none is left either. */
  isWithdrawn = false;
  /** Whether another incarnation was found at its address. */
  hasEnded = false;
  /** Whether it has ended, or another incarnation announced itself at its address later. */
  isReplaced = false;
  private learnedMsPerUnit: number | undefined;
  private readonly ownFailures = new FailureEstimate();

  /** Until when its agent is given time to be connected, in milliseconds. */
  private agentAwaitedUntilMs = 0;

  constructor(
    public backend: Backend,
    learnedAtMs: number,
    /** How far it is from this gateway. */
    readonly distance: Distance = 'same-zone',
    /** What it says of itself. */
    readonly condition = new BackendCondition(),
  ) {
    this.roundTrip = new RoundTrip(distance);
    this.awaitAgent(learnedAtMs);
  }

  /** Whether a connection to its agent may still come up for the first time. */
  isAgentAwaited(nowMs: number): boolean {
    return nowMs < this.agentAwaitedUntilMs;
  }

  /** Its agent is given time to be connected. */
  awaitAgent(nowMs: number): void {
    this.agentAwaitedUntilMs = nowMs + AGENT_WAIT_MS + this.roundTrip.ms * AGENT_ROUND_TRIPS;
  }

  /** Its agent did not answer, or is gone. */
  endAgentWait(): void {
    this.agentAwaitedUntilMs = 0;
  }

  /** Whether it is listed and still the incarnation at its address. */
  get isCurrent(): boolean {
    return this.unlistedAtMs === undefined && !this.isReplaced;
  }

  /**
   * Whether it takes no new requests any more, by its announcement or by an answer: announcements stand still while
   * the store is away.
   */
  get isLeaving(): boolean {
    return this.backend.state === 'draining' || this.condition.isLeaving;
  }

  /** Whether it is listed as taking new requests. */
  get isReady(): boolean {
    return this.isCurrent && !this.isLeaving;
  }

  /** Whether it may be used, as its agent says; open where none does. */
  get availability(): EngineAvailability {
    return this.agent?.availability ?? 'open';
  }

  /** Whether the next request there shows if it answers again: none that may run only once is risked. */
  get isOnTrial(): boolean {
    return this.availability === 'trial' || this.health.isProbing;
  }

  /** Whether its agent was told that requests wait. */
  get hasDemand(): boolean {
    return this.agent !== undefined && this.agent.lastDemand !== '';
  }

  /** Learned time for a unit of work, in milliseconds; undefined before the first answer. */
  get msPerUnit(): number | undefined {
    return this.learnedMsPerUnit;
  }

  /** A request of this gateway was answered there, or failed. */
  noteOutcome(hasFailed: boolean, nowMs: number): void {
    this.ownFailures.note(hasFailed, nowMs);
  }

  /** Share of requests that failed there lately, as this gateway and, where an agent tells, others saw it. */
  failureShare(nowMs: number): number {
    return Math.max(this.ownFailures.share(nowMs), this.agent?.failureShare ?? 0);
  }

  /** The part of a time between a send and something of its answer that is the back end's own. */
  withoutWay(elapsedMs: number): number {
    return Math.max(0, elapsedMs - this.roundTrip.ms);
  }

  /** Learns from a whole answer; the speed is the back end's own, whoever asks from wherever. */
  learnSpeed(units: number, elapsedMs: number): void {
    const sample = this.withoutWay(elapsedMs) / Math.max(1, units);
    const known = this.learnedMsPerUnit ?? sample;
    this.learnedMsPerUnit = known + SPEED_SMOOTHING * (sample - known);
  }

  /** What was learned of it so far. */
  get learned(): LearnedSpeed {
    return { ...this.speed.learned, msPerUnit: this.learnedMsPerUnit };
  }

  /** Takes over what others learned, where nothing was learned here. */
  adopt(learned: LearnedSpeed): void {
    this.speed.adopt(learned);
    this.learnedMsPerUnit ??= learned.msPerUnit;
  }

  /** Requests that are there, of this gateway and, where an agent tells, of others. */
  get occupied(): number {
    return this.agent === undefined
      ? this.outstanding
      : Math.max(this.outstanding, this.agent.occupied + this.agent.takenUnseen.length);
  }
}
