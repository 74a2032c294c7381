/** Query: the back end that a request is bound to while one of those permitted has a free slot. */
import { restrictionOf } from '../../routing/backend-restriction.js';
import type { OperatorRules, RestrictionReason } from '../../routing/backend-restriction.js';
import type { BackendDirectory } from './backend-directory.js';
import type { HomeOwner } from '../../routing/named-homes.js';
import { isAbroadByAgent, isSameOwner, mustAskAgent } from './agent-homes.js';
import { costOf, harmsOthers } from './backend-choice.js';
import type { ColdStarts } from './cold-starts.js';
import type { DispatchRequest } from './dispatch-request.js';
import { sendLimitPerS } from '../statements/send-limit.js';
import type { SendRights } from '../statements/send-rights.js';
import type { KnownBackend } from './known-backend.js';
import { hasWaitedForNear, isFar, isWorthWaitingFor } from './near-first.js';
import { reachableOf } from './path-choice.js';
import { hasRoom } from './slot-room.js';
import { UsualSpeeds } from './usual-speed.js';
import type { UsualSpeed } from './usual-speed.js';

/** What a choice asks of its surroundings. */
export interface BackendChooserPorts extends OperatorRules {
  /** Whether a service's back ends are engines, which serve in batches. */
  isEngine(service: string): boolean;
  /** Gateways that are known, this one included. */
  countGateways(): number;
  /** Tokens that an engine of the service gathers in one event. */
  tokensPerEvent(service: string): number;
  /** Version of the configuration in force; missing where there are no homes. */
  configurationVersion?(): number | undefined;
  /** What may begin at back ends that start slowly. */
  readonly coldStarts: ColdStarts;
  /** Rights to send to back ends that name a limit; missing where none is ever named. */
  readonly sendRights?: Pick<SendRights, 'mayBegin' | 'want' | 'use'>;
}

/** Bounds of a choice. */
export interface BackendChooserOptions {
  /**
   * What all gateways together use of an engine while no agent tells, as a share of its slots.
   * Default 1.25: gateways are not equally busy.
   */
  readonly shareWithoutAgent: number;
  /** How long a back end that left the list is used where no other is left, in milliseconds. Default 1,500. */
  readonly unlistedGraceMs: number;
}

/** What says where a request may be served at all. */
export type ServedRequest = Pick<DispatchRequest, 'service' | 'allowedRegions'>;

/** Added to the cost of a cold back end, in milliseconds: above any other, so that warm ones are used first. */
const AFTER_WARM_COST_MS = 1_000_000_000;

/** Time after which a back end that named a limit is asked whether it still does, in milliseconds. */
const LIMIT_STALE_MS = 1_000;

/** Chooses among the back ends of a directory. */
export class BackendChooser {
  private readonly usualSpeeds = new UsualSpeeds();

  constructor(
    private readonly directory: BackendDirectory,
    private readonly ports: BackendChooserPorts,
    private readonly options: BackendChooserOptions,
  ) {}

  /** The best back end with a free slot for the request; undefined if there is none. */
  choose(request: DispatchRequest, nowMs: number): KnownBackend | undefined {
    const permitted = this.candidates(request, nowMs);
    const usual = this.usualSpeeds.of(request.service, permitted, nowMs);
    const hasProven = permitted.some((known) => !known.isOnTrial);
    let best: KnownBackend | undefined;
    let bestCost = Infinity;
    let hasNearRoom = false;
    for (const known of permitted) {
      if (!this.hasRoom(known, nowMs) || this.harms(request, known, known.occupied)) {
        continue;
      }
      if (known.isOnTrial && !request.isRepeatable && hasProven) {
        continue;
      }
      hasNearRoom ||= !isFar(known);
      const cost = this.costOf(request, known, usual, nowMs) + this.coldCost(known, nowMs);
      if (cost < bestCost) {
        best = known;
        bestCost = cost;
      }
    }
    const mayCross = hasNearRoom || this.mayCross(request, permitted, nowMs);
    return best !== undefined && isFar(best) && !mayCross ? undefined : best;
  }

  /** Whether a request for which there is no room near by goes to another region now. */
  private mayCross(
    request: DispatchRequest,
    permitted: readonly KnownBackend[],
    nowMs: number,
  ): boolean {
    const reach = this.directory.reachOf(request.service);
    return hasWaitedForNear(request, reach, nowMs) || !permitted.some(isWorthWaitingFor);
  }

  /**
   * A version on a small share gets that share before others are asked, and at as few back ends as bear it,
   * so that it is seen with its slots full.
   */
  private costOf(
    request: DispatchRequest,
    known: KnownBackend,
    usual: UsualSpeed,
    nowMs: number,
  ): number {
    const isFirst =
      this.isLimitStale(known, nowMs) || this.ports.versionUse(known.backend) === 'limited';
    return isFirst ? -known.occupied - 1 : costOf(request, known, usual, nowMs);
  }

  /**
   * A back end that named a limit and was not heard for a while gets the next request for which there is a right:
   * nothing else would show that it names none any more.
   */
  private isLimitStale({ condition }: KnownBackend, nowMs: number): boolean {
    return condition.limitPerS !== undefined && condition.limitAgeMs(nowMs) > LIMIT_STALE_MS;
  }

  private coldCost(known: KnownBackend, nowMs: number): number {
    return this.ports.coldStarts.isCold(known, nowMs) ? AFTER_WARM_COST_MS : 0;
  }

  /** Whether any back end of the service that operators permit has a free slot. */
  hasAnyRoom(service: string, nowMs: number): boolean {
    return this.directory
      .ofService(service)
      .some(
        (known) =>
          this.hasRoom(known, nowMs) &&
          restrictionOf(known.backend, undefined, this.ports) === undefined,
      );
  }

  /** Whether a healthy back end that may serve the request, and is not in `excluded`, has a free slot. */
  hasRoomFor(request: ServedRequest, excluded: ReadonlySet<string>, nowMs: number): boolean {
    return this.directory
      .ofService(request.service)
      .some(
        (known) =>
          !excluded.has(known.backend.id) &&
          known.isReady &&
          known.availability === 'open' &&
          !known.path.isSuspect &&
          !known.health.isEjected(nowMs) &&
          this.isPermitted(request, known) &&
          this.hasRoom(known, nowMs),
      );
  }

  /** Whether its agent may be asked for slots: of one that names a limit they are had with a right alone. */
  mayBeGranted(known: KnownBackend, nowMs: number): boolean {
    return this.isOpen(known) && this.isUnlimited(known) && !known.condition.isResting(nowMs);
  }

  /** Whether operators let the back end be used freely. */
  private isOpen({ backend }: KnownBackend): boolean {
    const isPermitted = restrictionOf(backend, undefined, this.ports) === undefined;
    return isPermitted && this.ports.versionUse(backend) === 'open';
  }

  /** Whether operators permit any back end that is ready, or that left the list a moment ago. */
  hasCandidates(request: ServedRequest, nowMs: number): boolean {
    return this.directory
      .ofService(request.service)
      .some(
        (known) =>
          (known.isReady || this.isUnlistedLately(known, nowMs)) &&
          this.isPermitted(request, known),
      );
  }

  /**
   * The request of those that wait, first in order first, for which a slot that was granted is used; undefined
   * if there is none. A back end on trial gets one that may be run again elsewhere, or the last in order.
   * An agent that knows a newer configuration granted for the homes of one route and tenant, and no others.
   */
  chooseForGrant(
    queue: readonly DispatchRequest[],
    known: KnownBackend,
    grantedTo: HomeOwner | undefined,
    nowMs: number,
  ): DispatchRequest | undefined {
    const isBound = this.mustAsk(known);
    const fitting = (request: DispatchRequest) =>
      this.fits(request, known) && (!isBound || isSameOwner(request.homeOwner, grantedTo));
    if (!this.mayBeGranted(known, nowMs)) {
      return undefined;
    }
    if (!known.isOnTrial) {
      return queue.find(fitting);
    }
    const repeatable = queue.find((request) => request.isRepeatable && fitting(request));
    return repeatable ?? queue.filter(fitting).at(-1);
  }

  /** Whether the request could use a slot that the agent of a back end that is open grants. */
  fits(request: DispatchRequest, known: KnownBackend): boolean {
    const isExcluded = request.excluded.has(known.backend.id);
    const isHome = request.allowedRegions === undefined || this.isPermitted(request, known);
    return isHome && !isExcluded && !this.harms(request, known, known.occupied - 1);
  }

  /** Whether operators permit that the request is sent to the back end. */
  isPermitted(request: ServedRequest, known: KnownBackend): boolean {
    return this.restriction(request, known) === undefined;
  }

  /** Why operators keep the request from the back end, as this gateway or the agent there knows it. */
  restriction(
    { allowedRegions }: ServedRequest,
    { backend, agent }: KnownBackend,
  ): RestrictionReason | undefined {
    const reason = restrictionOf(backend, allowedRegions, this.ports);
    return reason ?? (isAbroadByAgent(agent?.homes, allowedRegions) ? 'outside-home' : undefined);
  }

  private harms(request: DispatchRequest, known: KnownBackend, others: number): boolean {
    const tokensPerEvent = this.ports.tokensPerEvent(request.service);
    return harmsOthers(request, known.speed, others, tokensPerEvent);
  }

  /**
   * Back ends that the request may be bound to: healthy ones of those that this
   * gateway works with if there are any, then other healthy ones.
   */
  private candidates(request: DispatchRequest, nowMs: number): KnownBackend[] {
    const { service, allowedRegions, excluded } = request;
    const served = { service, allowedRegions };
    const permitted = this.directory
      .ofService(service)
      .filter((known) => !excluded.has(known.backend.id) && this.isPermitted(served, known));
    const ready = permitted.filter((known) => known.isReady);
    if (ready.length === 0) {
      return permitted.filter((known) => this.isUnlistedLately(known, nowMs));
    }
    const healthy = ready.filter(
      (known) => known.availability !== 'closed' && !known.health.isEjected(nowMs),
    );
    const reachable = reachableOf(healthy, request.isRepeatable, nowMs);
    const assigned = reachable.filter((known) => known.isAssigned);
    if (assigned.length > 0) {
      return assigned;
    }
    return reachable.length > 0 ? [...reachable] : ready;
  }

  private isUnlistedLately(known: KnownBackend, nowMs: number): boolean {
    const { unlistedAtMs } = known;
    const isRecent =
      unlistedAtMs !== undefined && nowMs - unlistedAtMs < this.options.unlistedGraceMs;
    return isRecent && !known.isLeaving && !known.isReplaced && !known.isWithdrawn;
  }

  /** Whether its agent knows a newer configuration, so that its slots are had by grants only. */
  private mustAsk({ agent }: KnownBackend): boolean {
    return mustAskAgent(agent?.homes, this.ports.configurationVersion?.());
  }

  private hasRoom(known: KnownBackend, nowMs: number): boolean {
    return this.mayBegin(known, nowMs) && this.hasFreeSlot(known, nowMs);
  }

  private hasFreeSlot(known: KnownBackend, nowMs: number): boolean {
    if (this.mustAsk(known)) {
      return false;
    }
    const inputs = {
      isEngine: this.ports.isEngine(known.backend.service),
      gateways: this.ports.countGateways(),
      shareWithoutAgent: this.options.shareWithoutAgent,
      draw: this.directory.shareDraw(known.backend.id),
    };
    return hasRoom(known, inputs, nowMs) && this.ports.coldStarts.mayStart(known, nowMs);
  }

  /**
   * Whether what it says of itself keeps no request from the back end now. Every way out asks this: what a free slot allows, and
   * what an agent granted before that was heard.
   */
  mayBegin(known: KnownBackend, nowMs: number): boolean {
    const hasRight = this.ports.sendRights?.mayBegin(known.backend.id) ?? true;
    return hasRight && !known.condition.isResting(nowMs);
  }

  /** Whether the back end names no limit, so that its agent may deal out its slots. */
  private isUnlimited({ condition }: KnownBackend): boolean {
    return sendLimitPerS(condition) === undefined;
  }

  /** Asks for rights to send what waits to back ends that name a limit and have a free slot. */
  wantRights(service: string, queue: readonly DispatchRequest[], nowMs: number): void {
    for (const known of this.directory.ofService(service)) {
      const isOfUse = known.isReady && !known.condition.isResting(nowMs);
      if (this.isUnlimited(known) || !isOfUse || !this.hasFreeSlot(known, nowMs)) {
        continue;
      }
      const request = queue.find((one) => this.fits(one, known));
      if (request !== undefined) {
        this.ports.sendRights?.want(known.backend.id, request);
      }
    }
  }
}
