/** What an agent keeps of one connected gateway: its slots, what waits there, and when it was heard. */
import type { StatedHomes, WaitingRank } from './slot-messages.js';
import type { HomeOwner } from '../routing/named-homes.js';
import type { AllowedRegions } from '../routing/backend-restriction.js';
import type { Distance } from '../routing/places.js';
import { RoundTrip } from '../round-trip.js';
import type { WaitingPlace } from './waiting-order.js';

/** How long a gateway may be silent, in milliseconds. */
export interface GatewaySilenceOptions {
  /**
   * Time after which a gateway that has not answered a grant gets no more. A gateway
   * answers in its next turn of the loop, a few milliseconds later unless it is
   * overloaded itself. The way there and back comes on top. Default 120.
   */
  readonly grantAnswerMs: number;
  /**
   * Silence of a gateway that holds slots or has requests waiting; gateways speak
   * at least each 200 ms then. Default 700.
   */
  readonly silenceMs: number;
}

/** Defaults of the silence of gateways. */
export const DEFAULT_GATEWAY_SILENCE_OPTIONS: GatewaySilenceOptions = {
  grantAnswerMs: 120,
  silenceMs: 700,
};

/** A request that waits in a gateway. */
export interface WaitingRequest extends WaitingPlace {
  readonly allowedRegions: AllowedRegions;
  readonly homeOwner?: HomeOwner | undefined;
}

/** Least change of a round trip that is told to the gateway, in milliseconds. */
const ROUND_TRIP_NEWS_MS = 1;

/** One connected gateway. */
export class GatewayAccount {
  /** Waiting requests in the gateway's order, on this process's clock. */
  waiting: WaitingRequest[] = [];
  /** Messages heard after the hello. */
  messagesSeen = 0;
  /** Whether it took slots since it was told a count; it adds them to the count that it knows. */
  hasUntoldTakes = false;
  /** The latest time of its own clock that it told, in milliseconds. */
  clockMs: number | undefined;
  private readonly roundTrip: RoundTrip;
  private toldRoundTripMs: number | undefined;
  private grantsIssued = 0;
  /** When each grant was issued that the gateway has not answered, oldest first. */
  private readonly unansweredSinceMs: number[] = [];

  constructor(
    readonly name: string,
    /** Slots that the gateway's requests occupy, and those granted to it. */
    public held: number,
    private heardAtMs: number,
    distance: Distance = 'same-zone',
  ) {
    this.roundTrip = new RoundTrip(distance);
  }

  /** A message arrived. */
  hear(nowMs: number): void {
    this.messagesSeen += 1;
    this.heardAtMs = nowMs;
  }

  /**
   * Takes in what waits now; grants still on their way answer the first of the requests named. A slot that is
   * granted over a long way lies idle for the way there and back, so a request counts as later by that: among
   * equals gateways near by are first, for no longer than this.
   */
  setWaiting(ranks: readonly WaitingRank[], grantsSeen: number, nowMs: number): void {
    const grantsUnderWay = Math.max(0, this.grantsIssued - grantsSeen);
    const countsFromMs = nowMs + this.roundTrip.costMs;
    this.waiting = ranks
      .slice(grantsUnderWay)
      .map((rank) => ({ ...placeOf(rank, nowMs), arrivedAtMs: countsFromMs - rank.waitedMs }));
  }

  /** A waiting request gets a slot. */
  grant(request: WaitingRequest, nowMs: number): void {
    this.waiting = this.waiting.filter((other) => other !== request);
    this.held += 1;
    this.grantsIssued += 1;
    this.unansweredSinceMs.push(nowMs);
  }

  /** The gateway answered its oldest grant. */
  noteGrantAnswered(nowMs: number): void {
    const grantedAtMs = this.unansweredSinceMs.shift();
    if (grantedAtMs !== undefined) {
      this.roundTrip.learn(nowMs - grantedAtMs);
    }
  }

  /** The time of a message there and back, where it changed since this was asked last. */
  takeRoundTripNews(): number | undefined {
    const { ms, isMeasured } = this.roundTrip;
    const isNews = Math.abs(ms - (this.toldRoundTripMs ?? -Infinity)) >= ROUND_TRIP_NEWS_MS;
    if (!isMeasured || !isNews) {
      return undefined;
    }
    this.toldRoundTripMs = ms;
    return ms;
  }

  /** It took a free slot. */
  take(): void {
    this.held += 1;
    this.hasUntoldTakes = true;
  }

  /** A slot is given back. */
  release(): void {
    this.held = Math.max(0, this.held - 1);
  }

  /** Whether silence would tell anything: it holds slots, or waits for some. */
  get isExpectedToSpeak(): boolean {
    return this.held > 0 || this.waiting.length > 0;
  }

  /** Whether it left a grant unanswered for too long to be given another. */
  hasLapsedGrant(nowMs: number, { grantAnswerMs }: GatewaySilenceOptions): boolean {
    const grantedAtMs = this.unansweredSinceMs[0];
    return grantedAtMs !== undefined && nowMs - grantedAtMs > grantAnswerMs + this.roundTrip.ms;
  }

  /** Whether it should have spoken since and is taken for gone. */
  isSilent(nowMs: number, { silenceMs }: GatewaySilenceOptions): boolean {
    return this.isExpectedToSpeak && nowMs - this.heardAtMs > silenceMs;
  }
}

/** The regions that a message states. */
export function regionsOf({ allowedRegions }: StatedHomes): AllowedRegions {
  return allowedRegions === undefined ? undefined : new Set(allowedRegions);
}

/** A rank on this process's clock. */
function placeOf(rank: WaitingRank, nowMs: number): WaitingRequest {
  const { tier, rankInTier, waitedMs, startInMs, homeOwner } = rank;
  return {
    tier,
    rankInTier,
    arrivedAtMs: nowMs - waitedMs,
    startByMs: nowMs + startInMs,
    allowedRegions: regionsOf(rank),
    homeOwner,
  };
}
