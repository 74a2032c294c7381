/**
 * Keeps the record of members: writes the first one, takes in gateways that are heard, leaves out those that are gone,
 * and says when all have followed. Every gateway may; the first by name of those that are heard does, the others when
 * it does not. Each write holds only if nobody wrote meanwhile.
 */
import type { Clock } from '../../clock.js';
import { isLater, NO_POSITION, positionOf } from '../../cluster/store-position.js';
import type { StorePosition } from '../../cluster/store-position.js';
import type { WeirvaleError } from '../../request/errors.js';
import type { Result } from '../../result.js';
import { isSettled } from './quota-members.js';
import type { QuotaMember, QuotaMembersChange, QuotaMembersRecord } from './quota-members.js';
import { MAX_AHEAD_MS } from './quota-pools.js';
import { RIGHTS_HOLD_MS } from './quota-rights.js';

/** What is known of another gateway. */
export interface HeardMember extends QuotaMember {
  readonly heardAtMs: number;
  /** When its process was started, in milliseconds. */
  readonly startedAtMs: number;
  /** Position of the record that it follows. */
  readonly follows: StorePosition;
}

/** What the writer needs from its surroundings. */
export interface QuotaMembersPorts {
  /** Writes the record where the last one is at `expected` (revision 0: there is none). */
  write(
    change: QuotaMembersChange,
    expected: StorePosition,
  ): Promise<Result<StorePosition, WeirvaleError>>;
  /** The record was written, or the store did not take it. */
  onWritten(record: QuotaMembersRecord, failure: WeirvaleError | undefined): void;
  /** Every other gateway that was ever heard. */
  heard(): readonly HeardMember[];
  /** The newest record that this gateway follows. */
  record(): QuotaMembersRecord;
  /** How old the newest word of the store is, in milliseconds; undefined before the first. */
  storeAgeMs(): number | undefined;
  /** The time of day, in milliseconds. */
  timeOfDayMs(): number;
}

/** Silence from which a gateway is not counted on, in milliseconds: three periods of beats among 68 gateways (.9 s). */
const ABSENT_MS = 3_000;
/**
 * Silence from which a member is left out, in milliseconds: long after its rights have lapsed, so that clocks that
 * differ in rate do not matter.
 */
export const GONE_MS = 2.5 * RIGHTS_HOLD_MS;
/** Time for gateways that start together to hear each other, in milliseconds: one write instead of one for each. */
const GATHER_MS = 1_500;
/** Time in which what was granted ahead under former rights is used, in milliseconds; some times that. */
const SETTLE_MS = 3 * MAX_AHEAD_MS;
/** What each gateway waits longer than the one before it, in milliseconds: one write and its news fit in. */
const TURN_MS = 1_000;
/** Age of the store's last word up to which a write is tried, in milliseconds: a quiet watch answers more often. */
const STORE_FRESH_MS = 5_000;
/** Pause after a write that the store did not take, in milliseconds: the news of somebody else's write come in it. */
const RETRY_MS = 700;

/**
 * Age up to which a gateway counts as just started, in milliseconds: after a restart of all some start a second or two
 * after others, and are heard on their first beats.
 */
const JUST_STARTED_MS = 4_000;
/**
 * Time between two credits at least, in milliseconds of the time of day: a window of a quota, and as much again for
 * clocks that differ or are set.
 */
const CREDIT_PAUSE_MS = 16_000;

/** Why the record is to be changed. */
type ChangeKind = 'first' | 'rewrite' | 'members' | 'settle' | 'credit';

/** A change of the record that is due. */
interface DueChange extends QuotaMembersChange {
  readonly kind: ChangeKind;
  /** For how long it must have been due, in milliseconds. */
  readonly afterMs: number;
}

/** Keeps the record of members. */
export class QuotaMembersWriter {
  /** What is due, and since when, in milliseconds. */
  private due: { readonly kind: ChangeKind; readonly sinceMs: number } | undefined;
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

  /** Looks whether a change is due, and this gateway's turn has come; to be called a few times a second. */
  tick(): void {
    const nowMs = this.clock.now();
    const storeAgeMs = this.ports.storeAgeMs() ?? Infinity;
    const change = storeAgeMs <= STORE_FRESH_MS ? this.findChange(nowMs) : undefined;
    if (change === undefined) {
      this.due = undefined;
      return;
    }
    if (change.kind !== this.due?.kind) {
      // What one kind of change has waited says nothing of another: who follows a record has to be given its time.
      this.due = { kind: change.kind, sinceMs: nowMs };
    }
    const waitedMs = nowMs - this.due.sinceMs;
    const isItsTurn = waitedMs >= change.afterMs + this.turn(nowMs) * TURN_MS;
    if (isItsTurn && !this.isWriting && !this.isStopped) {
      this.isWriting = true;
      void this.write(change);
    }
  }

  /** Nothing is written any more. */
  stop(): void {
    this.isStopped = true;
  }

  private findChange(nowMs: number): DueChange | undefined {
    const record = this.ports.record();
    const present = [this.self, ...this.ports.heard().filter((peer) => isPresent(peer, nowMs))];
    if (record.members === undefined) {
      const first = present.map(toMember);
      // Whoever knows what stood in one that cannot be read writes it down again long before.
      const afterMs = record.isLost === true ? GONE_MS : GATHER_MS;
      return { ...record, kind: 'first', members: first, settled: first, afterMs };
    }
    if (record.isLost === true) {
      return { ...record, kind: 'rewrite', members: record.members, afterMs: 0 };
    }
    const members = this.withoutGone(record, present, nowMs);
    const joined = present.filter(({ name }) => !members.some((known) => known.name === name));
    if (joined.length > 0 || members.length < record.members.length) {
      const next = [...members, ...joined.map(toMember)];
      return { ...record, kind: 'members', members: next, afterMs: GATHER_MS };
    }
    if (!isSettled(record)) {
      return this.haveFollowed(record, nowMs)
        ? { ...record, kind: 'settle', members, settled: members, afterMs: SETTLE_MS }
        : undefined;
    }
    return this.findCredit({ ...record, members }, nowMs);
  }

  /** A fleet that has started again as a whole has empty pools, and all its callers come back at once. */
  private findCredit(record: QuotaMembersChange, nowMs: number): DueChange | undefined {
    const timeOfDayMs = this.ports.timeOfDayMs();
    const isAllowed = Math.abs(timeOfDayMs - record.creditedAtMs) >= CREDIT_PAUSE_MS;
    const all = [this.startedAtMs, ...this.ports.heard().map(({ startedAtMs }) => startedAtMs)];
    const young = all.filter((startedAtMs) => nowMs - startedAtMs < JUST_STARTED_MS);
    if (!isAllowed || young.length * 2 <= record.members.length) {
      return undefined;
    }
    const credits = record.credits + 1;
    return { ...record, kind: 'credit', credits, creditedAtMs: timeOfDayMs, afterMs: 0 };
  }

  /** Members but those that are gone. Who has rights is left out only if most members are here to say so. */
  private withoutGone(
    { members = [], settled }: QuotaMembersRecord,
    present: readonly QuotaMember[],
    nowMs: number,
  ): readonly QuotaMember[] {
    const isHere = ({ name }: QuotaMember) => present.some((peer) => peer.name === name);
    const areMostHere = members.filter(isHere).length * 2 > members.length;
    const mayHaveRights = ({ name }: QuotaMember) => settled.some((known) => known.name === name);
    return members.filter(
      (member) =>
        isHere(member) ||
        (mayHaveRights(member) && !(areMostHere && this.isGone(member.name, nowMs))),
    );
  }

  /** Whether all who may have had rights before the record follow it, or have none any more. */
  private haveFollowed(record: QuotaMembersRecord, nowMs: number): boolean {
    const heard = new Map(this.ports.heard().map((peer) => [peer.name, peer]));
    return record.settled.every(
      ({ name }) =>
        name === this.self.name ||
        !isLater(record, heard.get(name)?.follows ?? NO_POSITION) ||
        this.isGone(name, nowMs),
    );
  }

  /** Whether a gateway was silent for so long that its rights have lapsed, whatever it heard itself. */
  private isGone(name: string, nowMs: number): boolean {
    if (name === this.self.name) {
      return false;
    }
    const heardAtMs = this.ports.heard().find((peer) => peer.name === name)?.heardAtMs;
    return nowMs - (heardAtMs ?? this.startedAtMs) > GONE_MS;
  }

  /** How many gateways that are heard come before this one. */
  private turn(nowMs: number): number {
    return this.ports.heard().filter((peer) => isPresent(peer, nowMs) && peer.name < this.self.name)
      .length;
  }

  private async write(change: DueChange): Promise<void> {
    const expected = positionOf(this.ports.record());
    const { members, settled, credits, creditedAtMs } = change;
    const next = { members, settled, sequence: change.sequence + 1, credits, creditedAtMs };
    const written = await this.ports.write(next, expected);
    const record = { ...next, ...(written.ok ? written.val : expected) };
    this.ports.onWritten(record, written.ok ? undefined : written.val);
    // What somebody else wrote comes with the store's news meanwhile.
    this.clock.setTimeout(() => (this.isWriting = false), written.ok ? 0 : RETRY_MS);
  }
}

function isPresent({ heardAtMs }: HeardMember, nowMs: number): boolean {
  return nowMs - heardAtMs <= ABSENT_MS;
}

function toMember({ name, zone, region, address }: QuotaMember): QuotaMember {
  return { name, zone, region, address };
}
