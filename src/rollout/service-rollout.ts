/**
 * The roll-out of one version of one service, as one gateway takes part in it, without I/O.
 *
 * The target version is given a small share of the requests, which each gateway takes from its own, so
 * that the shares of all keep the bound without a word between them. Once the evidence of all gateways
 * says that it is good, the share grows in steps; late in the order's time all traffic moves, what runs
 * on the old back ends ends, and only then is the roll-out said to be completed. A verdict that it is
 * bad stops the traffic at once, here and wherever it is heard, and never changes.
 */
import { isLater, isSamePosition, positionOf } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';
import { pairShare } from '../pair-share.js';
import { RolloutEvidence } from './rollout-evidence.js';
import type { OutcomesByRoute } from './rollout-evidence.js';
import type { RolloutOrder, RolloutState, RolloutStatus, VersionUse } from './rollout-order.js';

/** What a gateway tells its peers of a roll-out that is not over. */
export interface PeerRollout {
  /** The store's position of the order. */
  readonly position: StorePosition;
  /** Time since the order, as far as the sender knows, in milliseconds. */
  readonly elapsedMs: number;
  readonly isBad: boolean;
  /** Whether it sends everything to the target version. */
  readonly hasMoved: boolean;
  /** Its requests that still run on other versions. */
  readonly oldAtWork: number;
  readonly outcomes: OutcomesByRoute;
  /** The same by step and route. */
  readonly stepOutcomes: OutcomesByRoute;
}

/** Ready back ends of a service, by whether they are of the target version. */
export interface ReadyVersions {
  readonly target: number;
  readonly others: number;
}

/** What a decision looks at beside the roll-out. */
export interface RolloutSurroundings {
  readonly ready: ReadyVersions;
  /** Gateways that are known, this one included. */
  readonly gateways: number;
}

/**
 * Share of the requests that the target version gets up to each part of the order's time. Together they
 * are .058 of the requests of that time. Users allow a bad version a tenth: the rest is for one that turns
 * bad just before all traffic moves, until that is seen.
 */
const STEPS: ReadonlyArray<{ readonly until: number; readonly share: number }> = [
  { until: 0.5, share: 0.04 },
  { until: 0.65, share: 0.12 },
  { until: 0.75, share: 0.2 },
];
/** Part of the order's time after which all traffic moves, and that after which an open verdict is settled. */
const MOVE_AT = STEPS.at(-1)!.until;
const SETTLE_AT = 0.88;
/** Part after which nothing more is waited for. */
const LAST_MOMENT = 0.95;
/** Requests at the target version without which nothing is called good. */
const MIN_ENDED = 20;
/** Target back ends that are needed, as a share of the others, to take all traffic over. */
const MIN_READY_SHARE = 0.5;
/** Silence after which a peer is not waited for, in milliseconds: some beats of a large cluster. */
const PEER_SILENCE_MS = 3_000;
/** Pause between the writers in rank, in milliseconds: a call of the store and the spread of its news. */
const WRITER_PAUSE_MS = 500;
/** The name that the ranks of writers are drawn for. */
const WRITER_RANK = 'rollout-writer';

/** One gateway's part in a roll-out. */
export class ServiceRollout {
  private readonly evidence = new RolloutEvidence();
  /** By step and route: what went well before does not hide that a version turned bad. */
  private readonly stepEvidence = new RolloutEvidence();
  private readonly peers = new Map<string, PeerRollout & { readonly heardAtMs: number }>();
  /** Requests that the target version may be given, of those that were sent so far. */
  private allowance = 0;
  private exposed = 0;
  private oldAtWork = 0;
  private isBad = false;
  private hasMoved = false;
  private isOrderRemoved = false;
  private status: RolloutStatus | undefined;
  /** The state that the store holds; an earlier one than `status` where it came back from a copy. */
  private stored: RolloutStatus | undefined;
  private startedAtMs: number;
  private wanted: { readonly state: RolloutState; readonly sinceMs: number } | undefined;

  constructor(
    private current: RolloutOrder,
    private readonly gateway: string,
    nowMs: number,
  ) {
    this.startedAtMs = nowMs;
  }

  /** The order, at the position of its last write. */
  get order(): RolloutOrder {
    return this.current;
  }

  /** The same order was written again, or is held in a later epoch of the store: what was learned stays. */
  follow(order: RolloutOrder): void {
    this.current = order;
  }

  /** The state that the store tells; undefined before the first. */
  get state(): RolloutState | undefined {
    return this.status?.state;
  }

  /** Whether it ended: the store tells so, or its order was removed. */
  get isOver(): boolean {
    return this.isOrderRemoved || this.state === 'completed' || this.state === 'rolled-back';
  }

  /** Position of the state that the store holds; revision 0 where it holds none. */
  get storedAt(): StorePosition {
    return this.stored === undefined
      ? { epoch: this.order.epoch, revision: 0 }
      : positionOf(this.stored);
  }

  /** Whether its order was removed. */
  get isRemoved(): boolean {
    return this.isOrderRemoved;
  }

  /** The order was removed: nobody vouches for a version that was not yet taken over, and no state is written. */
  remove(): void {
    this.isOrderRemoved = true;
  }

  /** How back ends of a version may be used. */
  useOf(version: string): VersionUse {
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
    return this.exposed < this.allowance ? 'limited' : 'closed';
  }

  /** A request of the service is sent to a back end. */
  noteSent(version: string, nowMs: number): void {
    this.allowance += this.shareAt(nowMs);
    if (version === this.order.targetVersion) {
      this.exposed += 1;
    } else {
      this.oldAtWork += 1;
    }
  }

  /** A request that was sent ended; `isBad` says that it failed or was late, undefined that its end says nothing. */
  noteEnded(version: string, route: string, isBad: boolean | undefined, nowMs: number): void {
    const isTarget = version === this.order.targetVersion;
    if (!isTarget) {
      this.oldAtWork = Math.max(0, this.oldAtWork - 1);
    }
    if (isBad !== undefined) {
      this.evidence.note(route, isTarget, isBad);
      this.stepEvidence.note(`${this.stepAt(nowMs)}/${route}`, isTarget, isBad);
    }
    this.isBad ||= isTarget && this.showsBad;
  }

  /** Takes in what the store tells; a state that ended never changes. */
  takeStatus(status: RolloutStatus): void {
    const isOfOrder = status.targetVersion === this.order.targetVersion;
    if (!isOfOrder || !isLater(status, this.order)) {
      return;
    }
    this.stored = status;
    if (!this.isOver) {
      this.status = status;
    }
  }

  /** The store came back without the state that it held. */
  loseStatus(): void {
    this.stored = undefined;
  }

  /** A peer told of its part. */
  hear(peer: string, told: PeerRollout, nowMs: number): void {
    if (!isSamePosition(told.position, this.order)) {
      return;
    }
    this.peers.set(peer, { ...told, heardAtMs: nowMs });
    this.startedAtMs = Math.min(this.startedAtMs, nowMs - told.elapsedMs);
    this.evidence.hear(peer, told.outcomes);
    this.stepEvidence.hear(peer, told.stepOutcomes);
    this.isBad ||= told.isBad || this.showsBad;
  }

  /** What peers are told. */
  tell(nowMs: number): PeerRollout {
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
   * The state that this gateway is to write now; undefined for none. Of the gateways that want the same the
   * first in rank writes, and each next one if the one before it does not.
   */
  stateToWrite(surroundings: RolloutSurroundings, nowMs: number): RolloutState | undefined {
    const wanted = this.decide(surroundings, nowMs);
    if (wanted === undefined || wanted === this.stored?.state) {
      this.wanted = undefined;
      return undefined;
    }
    if (this.wanted?.state !== wanted) {
      this.wanted = { state: wanted, sinceMs: nowMs };
    }
    const dueAtMs = this.wanted.sinceMs + this.writerRank(nowMs) * WRITER_PAUSE_MS;
    return nowMs >= dueAtMs ? wanted : undefined;
  }

  private decide(surroundings: RolloutSurroundings, nowMs: number): RolloutState | undefined {
    if (this.isOver) {
      // Written again where the store holds it no more.
      return this.isOrderRemoved ? undefined : this.state;
    }
    if (this.isBad) {
      return 'rolled-back';
    }
    const part = this.partAt(nowMs);
    if (!this.hasMoved && part >= MOVE_AT) {
      this.hasMoved = this.mayMove(surroundings.ready, part);
    }
    if (this.hasMoved) {
      return this.isMoveOver(surroundings.gateways, part, nowMs) ? 'completed' : 'in-progress';
    }
    return part >= SETTLE_AT ? 'rolled-back' : 'in-progress';
  }

  private mayMove({ target, others }: ReadyVersions, part: number): boolean {
    const { verdict, targetEnded, leansGood } = this.evidence;
    const isGood = verdict === 'good' || (part >= SETTLE_AT && leansGood);
    return targetEnded >= MIN_ENDED && isGood && target > 0 && target >= others * MIN_READY_SHARE;
  }

  /** Whether no gateway sends to old back ends any more, and nothing runs there. */
  private isMoveOver(gateways: number, part: number, nowMs: number): boolean {
    if (part >= LAST_MOMENT) {
      return true;
    }
    const alive = this.alivePeers(nowMs);
    const areAllHeard = alive.length + 1 >= gateways;
    const areAllDone = alive.every(([, peer]) => peer.hasMoved && peer.oldAtWork === 0);
    return areAllHeard && areAllDone && this.oldAtWork === 0;
  }

  private get showsBad(): boolean {
    return this.evidence.verdict === 'bad' || this.stepEvidence.verdict === 'bad';
  }

  private shareAt(nowMs: number): number {
    const step = this.evidence.verdict === 'good' ? this.stepAt(nowMs) : 0;
    return STEPS[step]!.share;
  }

  private stepAt(nowMs: number): number {
    const part = this.partAt(nowMs);
    const index = STEPS.findIndex(({ until }) => part < until);
    return index < 0 ? STEPS.length - 1 : index;
  }

  /** Part of the order's time that is gone. */
  private partAt(nowMs: number): number {
    return (nowMs - this.startedAtMs) / Math.max(1, this.order.durationMs);
  }

  private alivePeers(nowMs: number): Array<[string, PeerRollout]> {
    return [...this.peers].filter(([, { heardAtMs }]) => nowMs - heardAtMs <= PEER_SILENCE_MS);
  }

  private writerRank(nowMs: number): number {
    const own = pairShare(WRITER_RANK, this.gateway);
    return this.alivePeers(nowMs).filter(([peer]) => pairShare(WRITER_RANK, peer) < own).length;
  }
}
