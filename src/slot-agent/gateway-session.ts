/**
 * State of one connected gateway: its slots, its waiting requests and the time of its last message.
 */
import type { RegionConstraints, WaitingRank } from './slot-messages.js';
import type { RouteAndTenant } from '../routing/region-restrictions.js';
import type { AllowedRegions } from '../routing/backend-restriction.js';
import type { Distance } from '../routing/zone-topology.js';
import { RoundTripEstimate } from '../round-trip.js';
import type { WaitingPriority } from './waiting-priority.js';

/** Timeouts for messages from gateways, in milliseconds. */
export interface GatewayTimeoutOptions {
  /**
   * Time after which a gateway that has not answered a grant gets no further grants; the round trip
   * is added. A gateway answers in its next event loop iteration, within a few milliseconds unless
   * it is overloaded. Default 120.
   */
  readonly grantAnswerMs: number;
  /**
   * Keepalive timeout of a gateway that holds slots or has requests waiting; it then sends a
   * message at least every 250 ms, every 200 if only keepalives. Default 700.
   */
  readonly silenceMs: number;
}

/** Default timeouts for messages from gateways. */
export const DEFAULT_GATEWAY_TIMEOUT_OPTIONS: GatewayTimeoutOptions = {
  grantAnswerMs: 120,
  silenceMs: 700,
};

/** A request queued in a gateway. */
export interface WaitingRequest extends WaitingPriority {
  readonly allowedRegions: AllowedRegions;
  readonly homeOwner?: RouteAndTenant | undefined;
}

/** Smallest change of the round trip time that is reported to the gateway, in milliseconds. */
const MIN_ROUND_TRIP_CHANGE_MS = 1;

/** Session of one connected gateway. */
export class GatewaySession {
  /** Waiting requests in the gateway's order; times are on this process's clock. */
  waiting: WaitingRequest[] = [];
  /** Messages received after the hello. */
  messagesSeen = 0;
  /**
   * Whether it took slots since the last state message sent to it. Until the next one it adds them
   * to the count that it last received.
   */
  hasUnreportedTakes = false;
  /** Latest reading of the gateway's own clock that it sent, in milliseconds. */
  clockMs: number | undefined;
  private readonly roundTrip: RoundTripEstimate;
  private reportedRoundTripMs: number | undefined;
  private grantsIssued = 0;
  /** Issue times of grants that the gateway has not answered, oldest first. */
  private readonly unansweredGrantsAtMs: number[] = [];

  constructor(
    readonly name: string,
    /** Slots that the gateway's requests occupy or that are granted to it. */
    public held: number,
    private lastMessageAtMs: number,
    distance: Distance = 'same-zone',
  ) {
    this.roundTrip = new RoundTripEstimate(distance);
  }

  /** Records that a message arrived. */
  noteMessage(nowMs: number): void {
    this.messagesSeen += 1;
    this.lastMessageAtMs = nowMs;
  }

  /**
   * Replaces the waiting requests; grants in flight are matched to the first of `ranks`. A slot
   * granted over a long link is idle for the round trip, so the arrival of each request is moved
   * later by that cost: among requests of equal priority nearby gateways come first, by no more
   * than this.
   */
  setWaiting(ranks: readonly WaitingRank[], grantsSeen: number, nowMs: number): void {
    const grantsInFlight = Math.max(0, this.grantsIssued - grantsSeen);
    const adjustedNowMs = nowMs + this.roundTrip.costMs;
    this.waiting = ranks.slice(grantsInFlight).map((rank) => ({
      ...toWaitingRequest(rank, nowMs),
      arrivedAtMs: adjustedNowMs - rank.waitedMs,
    }));
  }

  /** Assigns a slot to a waiting request. */
  grant(request: WaitingRequest, nowMs: number): void {
    this.waiting = this.waiting.filter((other) => other !== request);
    this.held += 1;
    this.grantsIssued += 1;
    this.unansweredGrantsAtMs.push(nowMs);
  }

  /** Records the answer to the oldest unanswered grant and samples the round trip. */
  noteGrantAnswered(nowMs: number): void {
    const grantedAtMs = this.unansweredGrantsAtMs.shift();
    if (grantedAtMs !== undefined) {
      this.roundTrip.addSample(nowMs - grantedAtMs);
    }
  }

  /**
   * Returns the round trip time in milliseconds if it was measured and changed since the last call
   * that returned one.
   */
  takeRoundTripUpdate(): number | undefined {
    const { ms, isMeasured } = this.roundTrip;
    const hasChanged =
      Math.abs(ms - (this.reportedRoundTripMs ?? -Infinity)) >= MIN_ROUND_TRIP_CHANGE_MS;
    if (!isMeasured || !hasChanged) {
      return undefined;
    }
    this.reportedRoundTripMs = ms;
    return ms;
  }

  /** Records that the gateway took a free slot without a grant. */
  take(): void {
    this.held += 1;
    this.hasUnreportedTakes = true;
  }

  /** Records that the gateway gave back a slot. */
  release(): void {
    this.held = Math.max(0, this.held - 1);
  }

  /** Whether the gateway must send keepalives, since it holds slots or has requests waiting. */
  get isKeepaliveExpected(): boolean {
    return this.held > 0 || this.waiting.length > 0;
  }

  /** Whether its oldest unanswered grant is overdue, so that it gets no further grants. */
  hasOverdueGrant(nowMs: number, { grantAnswerMs }: GatewayTimeoutOptions): boolean {
    const grantedAtMs = this.unansweredGrantsAtMs[0];
    return grantedAtMs !== undefined && nowMs - grantedAtMs > grantAnswerMs + this.roundTrip.ms;
  }

  /** Whether an expected keepalive is overdue, so that the gateway is considered lost. */
  isTimedOut(nowMs: number, { silenceMs }: GatewayTimeoutOptions): boolean {
    return this.isKeepaliveExpected && nowMs - this.lastMessageAtMs > silenceMs;
  }
}

/** Returns the allowed regions that a message states; undefined for any region. */
export function regionsOf({ allowedRegions }: RegionConstraints): AllowedRegions {
  return allowedRegions === undefined ? undefined : new Set(allowedRegions);
}

/** Converts the relative times of a rank to this process's clock. */
function toWaitingRequest(rank: WaitingRank, nowMs: number): WaitingRequest {
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
