/**
 * The rights to send to back ends that name a limit, as far as this gateway deals them out: for each such back end one
 * gateway does, so that all that is dealt out adds up to the limit.
 *
 * A right is one request. Who asks while there is none waits for it here, the most urgent request first.
 */
import type { Clock, TimerHandle } from '../../clock.js';

/** What gives a request that asks its place. */
export interface RightPlace {
  readonly tier: number;
  readonly rankInTier: number;
}

/** One gateway's ask for one right. */
export interface RightAsk {
  /** Names the ask; no other has the same name. */
  readonly name: string;
  readonly place: RightPlace;
  /** Called once, maybe before `ask` returns. */
  answer(isGranted: boolean): void;
}

/** What pools need to know. */
export interface SendRightPoolsPorts {
  /** Requests a second that may be sent to the back end; undefined for any number. */
  limitOf(backendId: string): number | undefined;
  /** Since when this gateway alone deals out the rights of the back end, in milliseconds; undefined if it does not. */
  heldSinceMs(backendId: string): number | undefined;
}

/** How long an ask waits for a right, in milliseconds; who asked may have found another back end by then. */
export const ASK_WAIT_MS = 150;
/** Rights that may be dealt out at once, as what flows in during this time, in milliseconds; at least one. */
const STOCK_MS = 200;
/** How long a right may come back, in milliseconds; later it has been used or is lost. */
const RETURN_MS = 1_000;
const MS_PER_S = 1_000;

interface WaitingAsk extends RightAsk {
  readonly endsAtMs: number;
}

/** The rights of one back end. */
class SendRightPool {
  readonly waiting: WaitingAsk[] = [];
  timer: TimerHandle | undefined;
  /** Rights that may come back, and when they were dealt out. */
  private readonly dealt = new Map<string, number>();
  private level = 0;

  constructor(private filledAtMs: number) {}

  /** Deals out one right if there is one. */
  take(name: string, limitPerS: number, nowMs: number): boolean {
    this.fill(limitPerS, nowMs);
    if (this.level < 1) {
      return false;
    }
    this.level -= 1;
    this.dealt.set(name, nowMs);
    return true;
  }

  /** A right was not used. */
  giveBack(name: string, nowMs: number): void {
    const dealtAtMs = this.dealt.get(name) ?? -Infinity;
    if (this.dealt.delete(name) && nowMs - dealtAtMs <= RETURN_MS) {
      this.level += 1;
    }
  }

  /** Time until there is a right, in milliseconds. */
  msUntilRight(limitPerS: number, nowMs: number): number {
    this.fill(limitPerS, nowMs);
    return Math.max(0, ((1 - this.level) / limitPerS) * MS_PER_S);
  }

  private fill(limitPerS: number, nowMs: number): void {
    const most = Math.max(1, (limitPerS * STOCK_MS) / MS_PER_S);
    const passedMs = Math.max(0, nowMs - this.filledAtMs);
    this.level = Math.min(most, this.level + (limitPerS * passedMs) / MS_PER_S);
    this.filledAtMs = Math.max(nowMs, this.filledAtMs);
    for (const [name, dealtAtMs] of this.dealt) {
      if (nowMs - dealtAtMs <= RETURN_MS) {
        return;
      }
      this.dealt.delete(name);
    }
  }
}

/** The rights that this gateway deals out. */
export class SendRightPools {
  private readonly pools = new Map<string, SendRightPool>();

  constructor(
    private readonly ports: SendRightPoolsPorts,
    private readonly clock: Clock,
  ) {}

  /** Asks for a right to send one request to the back end. */
  ask(backendId: string, ask: RightAsk): void {
    const nowMs = this.clock.now();
    const pool = this.poolOf(backendId, nowMs);
    if (pool === undefined) {
      ask.answer(false);
      return;
    }
    pool.waiting.push({ ...ask, endsAtMs: nowMs + ASK_WAIT_MS });
    this.deal(backendId, pool);
  }

  /** A right that was dealt out was not used. */
  giveBack(backendId: string, name: string): void {
    const pool = this.pools.get(backendId);
    if (pool !== undefined) {
      pool.giveBack(name, this.clock.now());
      this.deal(backendId, pool);
    }
  }

  /** Limits or rights may have changed; to be called now and then. */
  review(): void {
    for (const [backendId, pool] of this.pools) {
      const isHeld = this.ports.heldSinceMs(backendId) !== undefined;
      if (isHeld && this.ports.limitOf(backendId) !== undefined) {
        this.deal(backendId, pool);
      } else {
        this.end(backendId, pool, isHeld);
      }
    }
  }

  private poolOf(backendId: string, nowMs: number): SendRightPool | undefined {
    const sinceMs = this.ports.heldSinceMs(backendId);
    if (sinceMs === undefined) {
      return undefined;
    }
    const known = this.pools.get(backendId);
    if (known !== undefined) {
      return known;
    }
    // Whoever held it before may have dealt out all that flowed in until now.
    const created = new SendRightPool(Math.max(sinceMs, nowMs));
    this.pools.set(backendId, created);
    return created;
  }

  /** The pool is not needed any more, or another gateway has it: what waits is answered. */
  private end(backendId: string, pool: SendRightPool, isGranted: boolean): void {
    this.pools.delete(backendId);
    this.clock.clearTimeout(pool.timer);
    pool.waiting.splice(0).forEach((ask) => ask.answer(isGranted));
  }

  private deal(backendId: string, pool: SendRightPool): void {
    const limitPerS = this.ports.limitOf(backendId);
    if (limitPerS === undefined) {
      this.end(backendId, pool, true);
      return;
    }
    const nowMs = this.clock.now();
    pool.waiting.sort(compareAsks);
    while (pool.waiting.length > 0 && pool.take(pool.waiting[0]!.name, limitPerS, nowMs)) {
      pool.waiting.shift()!.answer(true);
    }
    this.endLate(pool, nowMs);
    this.dealLater(backendId, pool, limitPerS, nowMs);
  }

  private endLate(pool: SendRightPool, nowMs: number): void {
    const late = pool.waiting.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    late.forEach((ask) => {
      pool.waiting.splice(pool.waiting.indexOf(ask), 1);
      ask.answer(false);
    });
  }

  private dealLater(
    backendId: string,
    pool: SendRightPool,
    limitPerS: number,
    nowMs: number,
  ): void {
    this.clock.clearTimeout(pool.timer);
    pool.timer = undefined;
    if (pool.waiting.length === 0) {
      return;
    }
    const firstEndMs = Math.min(...pool.waiting.map(({ endsAtMs }) => endsAtMs)) - nowMs;
    const delayMs = Math.min(firstEndMs, pool.msUntilRight(limitPerS, nowMs));
    pool.timer = this.clock.setTimeout(() => this.deal(backendId, pool), Math.ceil(delayMs));
  }
}

function compareAsks(left: WaitingAsk, right: WaitingAsk): number {
  return (
    left.place.tier - right.place.tier ||
    left.place.rankInTier - right.place.rankInTier ||
    left.endsAtMs - right.endsAtMs
  );
}
