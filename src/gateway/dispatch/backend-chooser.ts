/** Query: the back end that a request is bound to while one of those permitted has a free slot. */
import { restrictionOf } from '../../routing/backend-restriction.js';
import type { OperatorRules } from '../../routing/backend-restriction.js';
import type { Backend } from '../../routing/backend.js';
import type { BackendDirectory } from './backend-directory.js';
import { costOf, harmsOthers, usualSpeed } from './backend-choice.js';
import type { UsualSpeed } from './backend-choice.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { KnownBackend } from './known-backend.js';
import { hasWaitedForNear, isFar, isWorthWaitingFor } from './near-first.js';
import { hasRoom } from './slot-room.js';

/** What a choice asks of its surroundings. */
export interface BackendChooserPorts extends OperatorRules {
  /** Whether a service's back ends are engines, which serve in batches. */
  isEngine(service: string): boolean;
  /** Gateways that are known, this one included. */
  countGateways(): number;
  /** Tokens that an engine of the service gathers in one event. */
  tokensPerEvent(service: string): number;
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

/** Chooses among the back ends of a directory. */
export class BackendChooser {
  constructor(
    private readonly directory: BackendDirectory,
    private readonly ports: BackendChooserPorts,
    private readonly options: BackendChooserOptions,
  ) {}

  /** The best back end with a free slot for the request; undefined if there is none. */
  choose(request: DispatchRequest, nowMs: number): KnownBackend | undefined {
    const permitted = this.candidates(request, nowMs);
    const usual = usualSpeed(permitted);
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
      const cost = this.costOf(request, known, usual, nowMs);
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
    return this.ports.versionUse(known.backend) === 'limited'
      ? -known.occupied - 1
      : costOf(request, known, usual, nowMs);
  }

  /** Whether any back end of the service has a free slot. */
  hasAnyRoom(service: string, nowMs: number): boolean {
    return this.directory.ofService(service).some((known) => this.hasRoom(known, nowMs));
  }

  /**
   * The request of those that wait, first in order first, for which a slot that was granted is used; undefined
   * if there is none. A back end on trial gets one that may be run again elsewhere, or the last in order.
   */
  chooseForGrant(
    queue: readonly DispatchRequest[],
    known: KnownBackend,
  ): DispatchRequest | undefined {
    const fitting = (request: DispatchRequest) => this.fitsGrant(request, known);
    if (!known.isOnTrial) {
      return queue.find(fitting);
    }
    const repeatable = queue.find((request) => request.isRepeatable && fitting(request));
    return repeatable ?? queue.filter(fitting).at(-1);
  }

  private fitsGrant(request: DispatchRequest, known: KnownBackend): boolean {
    const { backend } = known;
    const isExcluded = request.excluded.has(backend.id);
    const isOpen = this.isPermitted(request, backend) && this.ports.versionUse(backend) === 'open';
    return isOpen && !isExcluded && !this.harms(request, known, known.occupied - 1);
  }

  private isPermitted({ allowedRegions }: DispatchRequest, backend: Backend): boolean {
    return restrictionOf(backend, allowedRegions, this.ports) === undefined;
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
    const permitted = this.directory
      .ofService(request.service)
      .filter(({ backend }) => !request.excluded.has(backend.id))
      .filter(({ backend }) => this.isPermitted(request, backend));
    const ready = permitted.filter((known) => known.isReady);
    if (ready.length === 0) {
      return permitted.filter((known) => this.isUnlistedLately(known, nowMs));
    }
    const healthy = ready.filter(
      (known) => known.availability !== 'closed' && !known.health.isEjected(nowMs),
    );
    const assigned = healthy.filter((known) => known.isAssigned);
    if (assigned.length > 0) {
      return assigned;
    }
    return healthy.length > 0 ? healthy : ready;
  }

  private isUnlistedLately(known: KnownBackend, nowMs: number): boolean {
    const { unlistedAtMs, backend } = known;
    const isRecent =
      unlistedAtMs !== undefined && nowMs - unlistedAtMs < this.options.unlistedGraceMs;
    return isRecent && backend.state === 'ready' && !known.isReplaced;
  }

  private hasRoom(known: KnownBackend, nowMs: number): boolean {
    const inputs = {
      isEngine: this.ports.isEngine(known.backend.service),
      gateways: this.ports.countGateways(),
      shareWithoutAgent: this.options.shareWithoutAgent,
      draw: this.directory.shareDraw(known.backend.id),
    };
    return hasRoom(known, inputs, nowMs);
  }
}
