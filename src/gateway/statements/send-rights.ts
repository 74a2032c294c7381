/** The rights of this gateway to send to back ends that name a limit: asked for one by one, and soon given back if unused. */
import type { Clock, TimerHandle } from '../../clock.js';
import type { RandomSource } from '../../random.js';
import { OwnShare } from './own-share.js';
import { ASK_WAIT_MS } from './send-right-pools.js';
import type { RightAsk, RightPlace } from './send-right-pools.js';

/** A gateway's ask for one right, as it goes to another gateway. */
export interface SendRightAsk {
  /** Number that the answer names. */
  readonly id: number;
  readonly backendId: string;
  readonly place: RightPlace;
}

/** What rights need from their surroundings. */
export interface SendRightsPorts {
  /** Requests a second that may be sent to the back end; undefined for any number. */
  limitOf(backendId: string): number | undefined;
  /** Who deals out its rights; undefined while that is not known. */
  dealerOf(backendId: string): string | undefined;
  /** Asks this gateway itself. */
  askSelf(backendId: string, ask: RightAsk): void;
  /** Asks another gateway; false if there is no connection to it. */
  sendAsk(dealer: string, ask: SendRightAsk): boolean;
  /** Gives back what was dealt out and not used, or may have been. */
  giveBack(dealer: string, ask: Pick<SendRightAsk, 'id' | 'backendId'>): void;
  /** Gateways that are known, this one included. */
  countGateways(): number;
  /** A right came that was waited for. */
  onRight(backendId: string): void;
}

/** How long a right is kept for a request to come, in milliseconds: others may have use for it. */
const KEEP_MS = 300;
/** Time for an answer beside the wait at the dealer, in milliseconds: a round trip between far regions, and a busy turn. */
const ANSWER_MS = 250;
/** Time for which a dealer that did not answer is passed over, in milliseconds. */
const SILENT_PAUSE_MS = 500;
/** Pause after an ask for which there was no right, in milliseconds; it waited at the dealer before. */
const REFUSED_PAUSE_MS = 20;

interface HeldRight {
  readonly id: number;
  /** Undefined for one of this gateway's own share. */
  readonly dealer: string | undefined;
  timer: TimerHandle | undefined;
}

interface PendingAsk {
  readonly backendId: string;
  readonly dealer: string;
  timer: TimerHandle;
}

/** What is held and asked for one back end. */
interface BackendRights {
  readonly held: HeldRight[];
  pendingId: number | undefined;
  pausedUntilMs: number;
  readonly ownShare: OwnShare;
}

/** The rights of this gateway. */
export class SendRights {
  private readonly backends = new Map<string, BackendRights>();
  private readonly pending = new Map<number, PendingAsk>();
  private readonly silentUntilMs = new Map<string, number>();
  private lastId = 0;
  /** While a right is asked for, whoever asks looks by itself whether it came at once. */
  private isAsking = false;

  constructor(
    private readonly self: string,
    private readonly ports: SendRightsPorts,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Whether a request may be sent to the back end now. */
  mayBegin(backendId: string): boolean {
    const isFree = this.ports.limitOf(backendId) === undefined;
    return isFree || (this.backends.get(backendId)?.held.length ?? 0) > 0;
  }

  /** A request would be sent there; a right is asked for if none is held or on its way. */
  want(backendId: string, place: RightPlace): void {
    const limitPerS = this.ports.limitOf(backendId);
    const rights = this.rightsOf(backendId);
    const nowMs = this.clock.now();
    const isBusy = rights.pendingId !== undefined || nowMs < rights.pausedUntilMs;
    if (limitPerS === undefined || rights.held.length > 0 || isBusy) {
      return;
    }
    this.isAsking = true;
    if (!this.ask(backendId, rights, place, nowMs) && this.takeOwn(rights, limitPerS, nowMs)) {
      this.hold(backendId, rights, { id: this.nextId(), dealer: undefined, timer: undefined });
    }
    this.isAsking = false;
  }

  /** A request is sent there. */
  use(backendId: string): void {
    const right = this.backends.get(backendId)?.held.shift();
    this.clock.clearTimeout(right?.timer);
  }

  /** A dealer answered. */
  receive(id: number, isGranted: boolean): void {
    const asked = this.pending.get(id);
    if (asked === undefined) {
      return;
    }
    this.pending.delete(id);
    this.clock.clearTimeout(asked.timer);
    this.takeAnswer(asked.backendId, { id, dealer: asked.dealer, timer: undefined }, isGranted);
  }

  /** Forgets back ends that are not limited any more. */
  forgetFree(): void {
    for (const [backendId, { held, pendingId }] of this.backends) {
      const isFree = this.ports.limitOf(backendId) === undefined;
      if (isFree && held.length === 0 && pendingId === undefined) {
        this.backends.delete(backendId);
      }
    }
  }

  /** Asks whoever deals; false if nobody can be asked. */
  private ask(backendId: string, rights: BackendRights, place: RightPlace, nowMs: number): boolean {
    const dealer = this.ports.dealerOf(backendId);
    if (dealer === undefined || nowMs < (this.silentUntilMs.get(dealer) ?? -Infinity)) {
      return false;
    }
    const id = this.nextId();
    if (dealer === this.self) {
      rights.pendingId = id;
      const right = { id, dealer, timer: undefined };
      const answer = (isGranted: boolean) => this.takeAnswer(backendId, right, isGranted);
      this.ports.askSelf(backendId, { name: rightName(this.self, id), place, answer });
      return true;
    }
    if (!this.ports.sendAsk(dealer, { id, backendId, place })) {
      return false;
    }
    rights.pendingId = id;
    const timer = this.clock.setTimeout(() => this.timeOut(id), ASK_WAIT_MS + ANSWER_MS);
    this.pending.set(id, { backendId, dealer, timer });
    return true;
  }

  private timeOut(id: number): void {
    const { backendId, dealer } = this.pending.get(id)!;
    this.pending.delete(id);
    this.rightsOf(backendId).pendingId = undefined;
    this.silentUntilMs.set(dealer, this.clock.now() + SILENT_PAUSE_MS);
    // The ask may still arrive, and be granted.
    this.ports.giveBack(dealer, { id, backendId });
  }

  private takeAnswer(backendId: string, right: HeldRight, isGranted: boolean): void {
    const rights = this.rightsOf(backendId);
    rights.pendingId = undefined;
    if (!isGranted) {
      rights.pausedUntilMs = this.clock.now() + REFUSED_PAUSE_MS;
      return;
    }
    this.hold(backendId, rights, right);
    if (!this.isAsking) {
      this.ports.onRight(backendId);
    }
  }

  private hold(backendId: string, rights: BackendRights, right: HeldRight): void {
    right.timer = this.clock.setTimeout(() => this.giveUp(backendId, rights, right), KEEP_MS);
    rights.held.push(right);
  }

  private giveUp(backendId: string, { held }: BackendRights, right: HeldRight): void {
    held.splice(held.indexOf(right), 1);
    if (right.dealer !== undefined) {
      this.ports.giveBack(right.dealer, { id: right.id, backendId });
    }
  }

  private takeOwn({ ownShare }: BackendRights, limitPerS: number, nowMs: number): boolean {
    return ownShare.take(limitPerS, this.ports.countGateways(), nowMs);
  }

  private rightsOf(backendId: string): BackendRights {
    const known = this.backends.get(backendId);
    if (known !== undefined) {
      return known;
    }
    const created: BackendRights = {
      held: [],
      pendingId: undefined,
      pausedUntilMs: -Infinity,
      ownShare: new OwnShare(this.random.next()),
    };
    this.backends.set(backendId, created);
    return created;
  }

  private nextId(): number {
    this.lastId += 1;
    return this.lastId;
  }
}

/** Name of an ask at its dealer. */
export function rightName(asker: string, id: number): string {
  return `${asker} ${id}`;
}
