/**
 * Maintains the membership record: creates it, adds gateways that send heartbeats, removes those
 * that timed out, and settles a membership once it is applied. Any gateway may write: the first
 * reachable one by name goes first, the others take over in turn if it does not. Each write is a
 * compare-and-swap on the record's position.
 */
import type { Clock } from '../../clock.js';
import { isLater, NO_POSITION, positionOf } from '../../cluster/store-position.js';
import type { StorePosition } from '../../cluster/store-position.js';
import type { WeirvaleError } from '../../request/errors.js';
import type { Result } from '../../result.js';
import { isSettled } from './quota-members.js';
import type { QuotaMember, QuotaMembersChange, QuotaMembersRecord } from './quota-members.js';
import { MAX_ADVANCE_GRANT_MS } from './quota-pools.js';
import { RIGHTS_LEASE_MS } from './quota-rights.js';

/** State of another gateway as of its last heartbeat. */
export interface MemberStatus extends QuotaMember {
  /** When that heartbeat was received, in milliseconds. */
  readonly heardAtMs: number;
  /** When its process started, in milliseconds. */
  readonly startedAtMs: number;
  /** Position of the newest record that it has applied. */
  readonly follows: StorePosition;
}

/** Dependencies of the writer. */
export interface QuotaMembersPorts {
  /** Writes the record if the stored one is at `expected` (revision 0: none is stored). */
  write(
    change: QuotaMembersChange,
    expected: StorePosition,
  ): Promise<Result<StorePosition, WeirvaleError>>;
  /** Called after a write, with `failure` if the store rejected it or was unavailable. */
  onWritten(record: QuotaMembersRecord, failure: WeirvaleError | undefined): void;
  /** Returns every other gateway that ever sent a heartbeat. */
  knownPeers(): readonly MemberStatus[];
  /** Returns the newest record that this gateway has applied. */
  record(): QuotaMembersRecord;
  /**
   * Returns the time since the last message from the store, in milliseconds; undefined before the
   * first.
   */
  storeAgeMs(): number | undefined;
  /** Returns the wall-clock time, in milliseconds. */
  timeOfDayMs(): number;
}

/**
 * Silence after which a gateway counts as unreachable, in milliseconds: three heartbeat intervals
 * of 68 gateways (.9 s).
 */
const UNREACHABLE_AFTER_MS = 3_000;
/**
 * Silence after which a member is removed, in milliseconds: well after its lease on rights has
 * expired, so that clock drift does not matter.
 */
export const REMOVE_AFTER_MS = 2.5 * RIGHTS_LEASE_MS;
/** Delay that batches the joins of gateways that start together into one write, in milliseconds. */
const MEMBER_CHANGE_DELAY_MS = 1_500;
/**
 * Delay before a membership is settled, in milliseconds: a few times the longest delay of an
 * advance grant issued under earlier rights.
 */
const SETTLE_DELAY_MS = 3 * MAX_ADVANCE_GRANT_MS;
/**
 * Extra delay of each gateway over the one ranked before it, in milliseconds: covers one write and
 * its propagation.
 */
const WRITER_STAGGER_MS = 1_000;
/**
 * Longest silence of the store at which a write is attempted, in milliseconds: an idle watch
 * responds more often.
 */
const MAX_STORE_AGE_MS = 5_000;
/**
 * Delay after a failed write, in milliseconds: a conflicting write arrives from the store within
 * it.
 */
const WRITE_RETRY_MS = 700;

/**
 * Age up to which a gateway counts as recently started, in milliseconds: after a restart of the
 * whole fleet some gateways start a second or two after others, and are observed with their first
 * heartbeats.
 */
const RECENT_START_MS = 4_000;
/**
 * Minimum interval between two credits, in milliseconds of wall-clock time: one quota window, and
 * as much again for clocks that are skewed or adjusted.
 */
const MIN_CREDIT_INTERVAL_MS = 16_000;

/** Reason for a change of the record. */
type ChangeKind = 'first' | 'rewrite' | 'members' | 'settle' | 'credit';

/** A pending change of the record. */
interface PendingChange extends QuotaMembersChange {
  readonly kind: ChangeKind;
  /** How long the change must be pending before it is written, in milliseconds. */
  readonly afterMs: number;
}

/** Writes the membership record. */
export class QuotaMembersWriter {
  /** Kind of the pending change, and since when it is pending, in milliseconds. */
  private pending: { readonly kind: ChangeKind; readonly sinceMs: number } | undefined;
  private isWriting = false;
  private isStopped = false;
  private readonly startedAtMs: number;

  constructor(
    private readonly self: QuotaMember,
    private readonly ports: QuotaMembersPorts,
    private readonly clock: Clock,
  ) {
    this.startedAtMs = clock.now();
  }

  /**
   * Writes a pending change once its delay and this gateway's rank delay have passed; to be called
   * a few times a second.
   */
  tick(): void {
    const nowMs = this.clock.now();
    const storeAgeMs = this.ports.storeAgeMs() ?? Infinity;
    const change = storeAgeMs <= MAX_STORE_AGE_MS ? this.nextChange(nowMs) : undefined;
    if (change === undefined) {
      this.pending = undefined;
      return;
    }
    if (change.kind !== this.pending?.kind) {
      // The delay of one kind of change does not count for another: after a record is applied, its
      // full settle delay must pass.
      this.pending = { kind: change.kind, sinceMs: nowMs };
    }
    const pendingMs = nowMs - this.pending.sinceMs;
    const isDue = pendingMs >= change.afterMs + this.writerRank(nowMs) * WRITER_STAGGER_MS;
    if (isDue && !this.isWriting && !this.isStopped) {
      this.isWriting = true;
      void this.write(change);
    }
  }

  /** Stops further writes. */
  stop(): void {
    this.isStopped = true;
  }

  private nextChange(nowMs: number): PendingChange | undefined {
    const record = this.ports.record();
    const reachable = [
      this.self,
      ...this.ports.knownPeers().filter((peer) => isReachable(peer, nowMs)),
    ];
    if (record.members === undefined) {
      const first = reachable.map(toMember);
      // A gateway that knows the content of an unreadable record rewrites it well before this delay
      // has passed.
      const afterMs = record.isLost === true ? REMOVE_AFTER_MS : MEMBER_CHANGE_DELAY_MS;
      return { ...record, kind: 'first', members: first, settled: first, afterMs };
    }
    if (record.isLost === true) {
      return { ...record, kind: 'rewrite', members: record.members, afterMs: 0 };
    }
    const members = this.removeTimedOut(record, reachable, nowMs);
    const joined = reachable.filter(({ name }) => !members.some((known) => known.name === name));
    if (joined.length > 0 || members.length < record.members.length) {
      const next = [...members, ...joined.map(toMember)];
      return { ...record, kind: 'members', members: next, afterMs: MEMBER_CHANGE_DELAY_MS };
    }
    if (!isSettled(record)) {
      return this.isAppliedByAll(record, nowMs)
        ? { ...record, kind: 'settle', members, settled: members, afterMs: SETTLE_DELAY_MS }
        : undefined;
    }
    return this.nextCredit({ ...record, members }, nowMs);
  }

  /**
   * Returns a credit if the recently started gateways number more than half of the members, as
   * after a restart of the whole fleet: the pools are then empty, and all callers retry at once.
   */
  private nextCredit(record: QuotaMembersChange, nowMs: number): PendingChange | undefined {
    const timeOfDayMs = this.ports.timeOfDayMs();
    const isAllowed = Math.abs(timeOfDayMs - record.creditedAtMs) >= MIN_CREDIT_INTERVAL_MS;
    const all = [
      this.startedAtMs,
      ...this.ports.knownPeers().map(({ startedAtMs }) => startedAtMs),
    ];
    const recentlyStarted = all.filter((startedAtMs) => nowMs - startedAtMs < RECENT_START_MS);
    if (!isAllowed || recentlyStarted.length * 2 <= record.members.length) {
      return undefined;
    }
    const credits = record.credits + 1;
    return { ...record, kind: 'credit', credits, creditedAtMs: timeOfDayMs, afterMs: 0 };
  }

  /**
   * Returns the members without those that timed out. A gateway with rights is removed only if most
   * members are reachable.
   */
  private removeTimedOut(
    { members = [], settled }: QuotaMembersRecord,
    reachable: readonly QuotaMember[],
    nowMs: number,
  ): readonly QuotaMember[] {
    const isReachableMember = ({ name }: QuotaMember) =>
      reachable.some((peer) => peer.name === name);
    const isMajorityReachable = members.filter(isReachableMember).length * 2 > members.length;
    const mayHaveRights = ({ name }: QuotaMember) => settled.some((known) => known.name === name);
    return members.filter(
      (member) =>
        isReachableMember(member) ||
        (mayHaveRights(member) && !(isMajorityReachable && this.hasTimedOut(member.name, nowMs))),
    );
  }

  /**
   * Whether every gateway that may hold rights under an earlier record has applied this one or has
   * timed out.
   */
  private isAppliedByAll(record: QuotaMembersRecord, nowMs: number): boolean {
    const peersByName = new Map(this.ports.knownPeers().map((peer) => [peer.name, peer]));
    return record.settled.every(
      ({ name }) =>
        name === this.self.name ||
        !isLater(record, peersByName.get(name)?.follows ?? NO_POSITION) ||
        this.hasTimedOut(name, nowMs),
    );
  }

  /**
   * Whether a gateway was silent for so long that its lease has expired, whatever messages it
   * received itself.
   */
  private hasTimedOut(name: string, nowMs: number): boolean {
    if (name === this.self.name) {
      return false;
    }
    const heardAtMs = this.ports.knownPeers().find((peer) => peer.name === name)?.heardAtMs;
    return nowMs - (heardAtMs ?? this.startedAtMs) > REMOVE_AFTER_MS;
  }

  /** Returns the number of reachable gateways that sort before this one by name. */
  private writerRank(nowMs: number): number {
    return this.ports
      .knownPeers()
      .filter((peer) => isReachable(peer, nowMs) && peer.name < this.self.name).length;
  }

  private async write(change: PendingChange): Promise<void> {
    const expected = positionOf(this.ports.record());
    const { members, settled, credits, creditedAtMs } = change;
    const next = { members, settled, sequence: change.sequence + 1, credits, creditedAtMs };
    const written = await this.ports.write(next, expected);
    const record = { ...next, ...(written.ok ? written.val : expected) };
    this.ports.onWritten(record, written.ok ? undefined : written.val);
    // A conflicting write of another gateway arrives from the store during the delay.
    this.clock.setTimeout(() => (this.isWriting = false), written.ok ? 0 : WRITE_RETRY_MS);
  }
}

function isReachable({ heardAtMs }: MemberStatus, nowMs: number): boolean {
  return nowMs - heardAtMs <= UNREACHABLE_AFTER_MS;
}

function toMember({ name, zone, region, address }: QuotaMember): QuotaMember {
  return { name, zone, region, address };
}
