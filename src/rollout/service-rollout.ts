/**
 * One gateway's part in the rollout of a version of a service, without I/O.
 *
 * The target version gets a small share of the requests. Each gateway applies the share to its own
 * requests, so the overall limit holds without coordination. Once the evidence of all gateways
 * shows that the version is good, the share grows in steps. Late in the order's time, all traffic
 * cuts over to the target version, requests at the old backends drain, and only then is the rollout
 * reported as completed. A bad verdict is final: it stops traffic to the target version at once,
 * here and at every gateway that receives the verdict.
 */
import { isLater, isSamePosition, positionOf } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';
import { pairHash } from '../pair-hash.js';
import { RolloutEvidence } from './rollout-evidence.js';
import type { OutcomesByRoute } from './rollout-evidence.js';
import type { RolloutOrder, RolloutState, RolloutStatus, VersionUse } from './rollout-order.js';

/** A gateway's report to its peers on a rollout that is not over. */
export interface PeerRolloutReport {
  /** Store position of the order. */
  readonly position: StorePosition;
  /** Time since the order as measured by the sender, in milliseconds. */
  readonly elapsedMs: number;
  readonly isBad: boolean;
  /** Whether the sender has cut over all its traffic to the target version. */
  readonly hasMoved: boolean;
  /** Number of the sender's requests still in flight at other versions. */
  readonly oldAtWork: number;
  readonly outcomes: OutcomesByRoute;
  /** Outcomes by step and route. */
  readonly stepOutcomes: OutcomesByRoute;
}

/** Numbers of ready backends of a service with the target version and with other versions. */
export interface ReadyBackendCounts {
  readonly target: number;
  readonly others: number;
}

/** External inputs to a decision about the state. */
export interface RolloutContext {
  readonly ready: ReadyBackendCounts;
  /** Number of known gateways, including this one. */
  readonly gateways: number;
}

/**
 * Share of the requests that the target version gets until each fraction of the order's time.
 * Together the steps are .058 of the requests of the whole order's time. A bad version may get at
 * most a tenth: the rest covers a version that turns bad just before the cutover, until that is
 * detected.
 */
const STEPS: ReadonlyArray<{ readonly until: number; readonly share: number }> = [
  { until: 0.5, share: 0.04 },
  { until: 0.65, share: 0.12 },
  { until: 0.75, share: 0.2 },
];
/**
 * Fractions of the order's time: from the first, all traffic may cut over; from the second, an open
 * verdict is decided by which hypothesis is more likely.
 */
const CUTOVER_AT = STEPS.at(-1)!.until;
const DECISION_AT = 0.88;
/**
 * Fraction of the order's time after which a cutover counts as complete without waiting for peers
 * and requests in flight.
 */
const COMPLETE_AT = 0.95;
/** Minimum number of requests completed at the target version before the cutover. */
const MIN_TARGET_REQUESTS = 20;
/** Minimum number of ready target backends for the cutover, relative to the other ready ones. */
const MIN_READY_SHARE = 0.5;
/**
 * Time without a report after which a peer is ignored, in milliseconds: a few heartbeats in a large
 * cluster.
 */
const PEER_TIMEOUT_MS = 3_000;
/** Delay per writer rank, in milliseconds: time for a store call and propagation of its result. */
const WRITER_STAGGER_MS = 500;
/** Hash key for the ranks of writers. */
const WRITER_RANK_KEY = 'rollout-writer';

/** State of a rollout at one gateway. */
export class ServiceRollout {
  private readonly evidence = new RolloutEvidence();
  /** By step and route, so that earlier successes do not mask a version that turns bad. */
  private readonly stepEvidence = new RolloutEvidence();
  private readonly peers = new Map<string, PeerRolloutReport & { readonly receivedAtMs: number }>();
  /** Number of requests that the target version may get, of those sent so far. */
  private allowance = 0;
  private targetSent = 0;
  private oldAtWork = 0;
  private isBad = false;
  private hasMoved = false;
  private isOrderRemoved = false;
  private status: RolloutStatus | undefined;
  /** The state in the store; older than `status` where the store was restored from a backup. */
  private storedStatus: RolloutStatus | undefined;
  private startedAtMs: number;
  private pendingState: { readonly state: RolloutState; readonly sinceMs: number } | undefined;

  constructor(
    private currentOrder: RolloutOrder,
    private readonly gateway: string,
    nowMs: number,
  ) {
    this.startedAtMs = nowMs;
  }

  /** The order, with the position of its last write. */
  get order(): RolloutOrder {
    return this.currentOrder;
  }

  /**
   * Applies a rewrite of the same order, for example in a later store epoch; collected evidence is
   * retained.
   */
  updateOrder(order: RolloutOrder): void {
    this.currentOrder = order;
  }

  /** The state last read from the store; undefined before the first. */
  get state(): RolloutState | undefined {
    return this.status?.state;
  }

  /** Whether the rollout is over: its stored state is final, or its order was removed. */
  get isOver(): boolean {
    return this.isOrderRemoved || this.state === 'completed' || this.state === 'rolled-back';
  }

  /** Position of the stored state; revision 0 where none is stored. */
  get storedPosition(): StorePosition {
    return this.storedStatus === undefined
      ? { epoch: this.order.epoch, revision: 0 }
      : positionOf(this.storedStatus);
  }

  /** Whether the order was removed. */
  get isRemoved(): boolean {
    return this.isOrderRemoved;
  }

  /** Ends the rollout: the target version is closed unless it is completed; no state is written. */
  markOrderRemoved(): void {
    this.isOrderRemoved = true;
  }

  /** Returns how backends of a version may be used. */
  versionUse(version: string): VersionUse {
    const isTarget = version === this.order.targetVersion;
    if (this.state === 'completed') {
      return isTarget ? 'open' : 'closed';
    }
    if (this.isBad || this.isOrderRemoved || this.state === 'rolled-back') {
      return isTarget ? 'closed' : 'open';
    }
    if (this.hasMoved) {
      return isTarget ? 'open' : 'closed';
    }
    if (!isTarget) {
      return 'open';
    }
    return this.targetSent < this.allowance ? 'limited' : 'closed';
  }

  /** Records that a request of the service is sent to a backend of `version`. */
  noteSent(version: string, nowMs: number): void {
    this.allowance += this.shareAt(nowMs);
    if (version === this.order.targetVersion) {
      this.targetSent += 1;
    } else {
      this.oldAtWork += 1;
    }
  }

  /**
   * Records that a sent request ended; `isBad` if it failed or was late, undefined if the outcome
   * does not count.
   */
  noteEnded(version: string, route: string, isBad: boolean | undefined, nowMs: number): void {
    const isTarget = version === this.order.targetVersion;
    if (!isTarget) {
      this.oldAtWork = Math.max(0, this.oldAtWork - 1);
    }
    if (isBad !== undefined) {
      this.evidence.recordOutcome(route, isTarget, isBad);
      this.stepEvidence.recordOutcome(`${this.stepAt(nowMs)}/${route}`, isTarget, isBad);
    }
    this.isBad ||= isTarget && this.hasBadVerdict;
  }

  /** Applies a stored state; once the rollout is over, its state never changes. */
  applyStatus(status: RolloutStatus): void {
    const isOfOrder = status.targetVersion === this.order.targetVersion;
    if (!isOfOrder || !isLater(status, this.order)) {
      return;
    }
    this.storedStatus = status;
    if (!this.isOver) {
      this.status = status;
    }
  }

  /** Handles a store that was restored without the state. */
  clearStoredStatus(): void {
    this.storedStatus = undefined;
  }

  /** Applies a peer's report. */
  applyPeerReport(peer: string, report: PeerRolloutReport, nowMs: number): void {
    if (!isSamePosition(report.position, this.order)) {
      return;
    }
    this.peers.set(peer, { ...report, receivedAtMs: nowMs });
    this.startedAtMs = Math.min(this.startedAtMs, nowMs - report.elapsedMs);
    this.evidence.setPeerOutcomes(peer, report.outcomes);
    this.stepEvidence.setPeerOutcomes(peer, report.stepOutcomes);
    this.isBad ||= report.isBad || this.hasBadVerdict;
  }

  /** Returns this gateway's report for its peers. */
  peerReport(nowMs: number): PeerRolloutReport {
    const { isBad, hasMoved, oldAtWork, evidence, stepEvidence } = this;
    return {
      position: positionOf(this.order),
      elapsedMs: nowMs - this.startedAtMs,
      isBad,
      hasMoved,
      oldAtWork,
      outcomes: evidence.ownOutcomes,
      stepOutcomes: stepEvidence.ownOutcomes,
    };
  }

  /**
   * Returns the state that this gateway must write now; undefined for none. Of the gateways that
   * reach the same state, the first in rank writes it; each next one writes it only if its
   * predecessors did not.
   */
  stateToWrite(context: RolloutContext, nowMs: number): RolloutState | undefined {
    const state = this.nextState(context, nowMs);
    if (state === undefined || state === this.storedStatus?.state) {
      this.pendingState = undefined;
      return undefined;
    }
    if (this.pendingState?.state !== state) {
      this.pendingState = { state, sinceMs: nowMs };
    }
    const dueAtMs = this.pendingState.sinceMs + this.writerRank(nowMs) * WRITER_STAGGER_MS;
    return nowMs >= dueAtMs ? state : undefined;
  }

  private nextState(context: RolloutContext, nowMs: number): RolloutState | undefined {
    if (this.isOver) {
      // Rewrites the final state where the store has lost it.
      return this.isOrderRemoved ? undefined : this.state;
    }
    if (this.isBad) {
      return 'rolled-back';
    }
    const elapsed = this.elapsedFraction(nowMs);
    if (!this.hasMoved && elapsed >= CUTOVER_AT) {
      this.hasMoved = this.mayCutOver(context.ready, elapsed);
    }
    if (this.hasMoved) {
      return this.isCutoverComplete(context.gateways, elapsed, nowMs) ? 'completed' : 'in-progress';
    }
    return elapsed >= DECISION_AT ? 'rolled-back' : 'in-progress';
  }

  private mayCutOver({ target, others }: ReadyBackendCounts, elapsed: number): boolean {
    const { verdict, targetEnded, isLikelyGood } = this.evidence;
    const isGood = verdict === 'good' || (elapsed >= DECISION_AT && isLikelyGood);
    return (
      targetEnded >= MIN_TARGET_REQUESTS &&
      isGood &&
      target > 0 &&
      target >= others * MIN_READY_SHARE
    );
  }

  /** Whether every gateway has cut over and no requests are in flight at old backends. */
  private isCutoverComplete(gateways: number, elapsed: number, nowMs: number): boolean {
    if (elapsed >= COMPLETE_AT) {
      return true;
    }
    const alive = this.alivePeers(nowMs);
    const haveAllReported = alive.length + 1 >= gateways;
    const haveAllDrained = alive.every(([, peer]) => peer.hasMoved && peer.oldAtWork === 0);
    return haveAllReported && haveAllDrained && this.oldAtWork === 0;
  }

  private get hasBadVerdict(): boolean {
    return this.evidence.verdict === 'bad' || this.stepEvidence.verdict === 'bad';
  }

  private shareAt(nowMs: number): number {
    const step = this.evidence.verdict === 'good' ? this.stepAt(nowMs) : 0;
    return STEPS[step]!.share;
  }

  private stepAt(nowMs: number): number {
    const elapsed = this.elapsedFraction(nowMs);
    const index = STEPS.findIndex(({ until }) => elapsed < until);
    return index < 0 ? STEPS.length - 1 : index;
  }

  /** Elapsed fraction of the order's time. */
  private elapsedFraction(nowMs: number): number {
    return (nowMs - this.startedAtMs) / Math.max(1, this.order.durationMs);
  }

  private alivePeers(nowMs: number): Array<[string, PeerRolloutReport]> {
    return [...this.peers].filter(
      ([, { receivedAtMs }]) => nowMs - receivedAtMs <= PEER_TIMEOUT_MS,
    );
  }

  private writerRank(nowMs: number): number {
    const own = pairHash(WRITER_RANK_KEY, this.gateway);
    return this.alivePeers(nowMs).filter(([peer]) => pairHash(WRITER_RANK_KEY, peer) < own).length;
  }
}
