/**
 * The wait of one request for a slot, without I/O: it is offered to the dispatcher, and its outlook is
 * reckoned anew until a slot comes or waiting is worth nothing to its caller.
 */
import type { TimerHandle } from '../../clock.js';
import type { DispatchRequest } from '../dispatch/dispatch-request.js';
import type { HomeRefusalReason } from '../homes/home-refusal.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { RequestOptions, RequestPorts } from './request-model.js';
import { isRepeatable } from '../../routing/configuration.js';
import { worthOfWaiting } from './waiting-worth.js';
import type { WaitOutlook } from './waiting-worth.js';

/** How far the answer has come when a wait begins. */
export interface AnswerSoFar {
  /** When the caller was sent its last event; undefined before the first. */
  readonly lastEventAtMs: number | undefined;
  /** Whether the caller has a part of its answer. */
  readonly hasStarted: boolean;
}

/** What a wait is made from. */
export interface RequestWaitParts {
  readonly request: AcceptedRequest;
  readonly ports: RequestPorts;
  readonly options: RequestOptions;
  readonly answer: AnswerSoFar;
  /** Back ends that must not be used. */
  readonly excluded: ReadonlySet<string>;
  /** A slot came. */
  onPlaced: DispatchRequest['onPlaced'];
  /** Waiting on is worth nothing, for its homes or since no slot is free in time; the wait has ended. */
  onGivenUp(reason?: HomeRefusalReason): void;
}

/** One wait. */
export class RequestWait {
  private readonly place: DispatchRequest;
  private isOver = false;
  private timer: TimerHandle | undefined;
  private farTimer: TimerHandle | undefined;

  constructor(private readonly parts: RequestWaitParts) {
    const { request, ports, excluded, answer, onPlaced } = parts;
    const { service, promptTokens, route } = request;
    const firstDueAtMs = dueAtMs(request, answer.lastEventAtMs);
    this.place = {
      service,
      get allowedRegions() {
        return request.allowedRegions;
      },
      homeOwner: request.homeOwner,
      tier: request.tier,
      rankInTier: request.rankInTier,
      arrivedAtMs: request.arrivedAtMs,
      startByMs:
        firstDueAtMs -
        ports.directory.expectedFirstMs(service, promptTokens, request.allowedRegions),
      units: request.units,
      promptTokens,
      firstDueAtMs,
      maxPauseMs: route.maxPauseMs,
      // One that moved already is not risked on a path that may be lost as well.
      isRepeatable: isRepeatable(route) && excluded.size === 0,
      excluded,
      onPlaced: (backend, nowMs) => {
        this.end();
        onPlaced(backend, nowMs);
      },
    };
  }

  /** Offers the request; it may be placed before this returns. */
  begin(): void {
    const { clock, dispatcher } = this.parts.ports;
    if (!this.endForHomes(clock.now())) {
      dispatcher.submit(this.place, clock.now());
      this.review();
      this.lookFartherLater();
    }
  }

  /** Takes the request back. */
  cancel(): void {
    if (!this.isOver) {
      const { clock, dispatcher } = this.parts.ports;
      this.end();
      dispatcher.withdraw(this.place, clock.now());
    }
  }

  /** When the caller may usefully come back, in milliseconds from now. */
  retryAfterMs(): number {
    const { request, ports, options } = this.parts;
    const { clock, dispatcher, random } = ports;
    const nowMs = clock.now();
    const forecast = dispatcher.forecastOf(this.place.service);
    const placeFreeMs = this.isEvacuated
      ? Infinity
      : forecast.expectedRecoveryMs(this.place, nowMs);
    const earliestMs = Math.min(
      options.overloadRetryMaxMs,
      Math.max(options.overloadRetryMinMs, placeFreeMs),
    );
    const restLeftMs = this.restLeftMs(nowMs);
    if (restLeftMs > earliestMs) {
      // Sooner there is certainly no back end for it, however little time its caller has left.
      return restLeftMs + options.overloadRetryMinMs * random.next();
    }
    // Callers that were refused together must not come back together.
    const spreadMs = earliestMs * (1 + random.next());
    return Math.min(spreadMs, (request.endsAtMs - nowMs) * options.maxRetryShare);
  }

  /** Whether evacuations leave the request no back end: nobody knows for how long. */
  get isEvacuated(): boolean {
    const { service, allowedRegions } = this.place;
    return this.parts.ports.directory.isEvacuated(service, allowedRegions);
  }

  /** Time until the first back end that may serve the request has rested, in milliseconds; 0 where one does not rest. */
  private restLeftMs(nowMs: number): number {
    const { service, allowedRegions } = this.place;
    return this.parts.ports.directory.restLeftMs(service, allowedRegions, nowMs);
  }

  private end(): void {
    this.isOver = true;
    this.parts.ports.clock.clearTimeout(this.timer);
    this.parts.ports.clock.clearTimeout(this.farTimer);
  }

  /**
   * A request that found no room near by is offered to other regions as soon as it has waited enough for it.
   * Timers may fire early, and the way may prove longer meanwhile: then it looks again.
   */
  private lookFartherLater(): void {
    const { clock, dispatcher } = this.parts.ports;
    const { service, arrivedAtMs } = this.place;
    const leftMs = dispatcher.farPatienceMs(service) - (clock.now() - arrivedAtMs);
    if (this.isOver || leftMs <= 0) {
      return;
    }
    const look = () => {
      dispatcher.review(service, clock.now());
      this.lookFartherLater();
    };
    this.farTimer = clock.setTimeout(look, Math.ceil(leftMs));
  }

  /** Goes on waiting while that is worth something, and looks again soon. */
  private review(): void {
    if (this.isOver) {
      return;
    }
    const { ports, options, onGivenUp } = this.parts;
    const nowMs = ports.clock.now();
    if (this.endForHomes(nowMs)) {
      return;
    }
    if (!this.isWorthWaiting(nowMs)) {
      this.cancel();
      onGivenUp();
      return;
    }
    this.timer = ports.clock.setTimeout(() => this.review(), options.waitReviewMs);
  }

  /** Ends the wait if no back end may serve the request where it has to stay; whether it did. */
  private endForHomes(nowMs: number): boolean {
    const reason = this.parts.ports.dispatcher.homeRefusal(this.place, nowMs);
    if (reason === undefined) {
      return false;
    }
    this.cancel();
    this.parts.onGivenUp(reason);
    return true;
  }

  private isWorthWaiting(nowMs: number): boolean {
    const { answer, options } = this.parts;
    if (this.isEvacuated) {
      return false;
    }
    if (answer.lastEventAtMs !== undefined) {
      return nowMs < answer.lastEventAtMs + options.resumeWaitMs;
    }
    if (answer.hasStarted) {
      return true;
    }
    return worthOfWaiting(this.outlook(nowMs)) >= 0;
  }

  private outlook(nowMs: number): WaitOutlook {
    const { request, ports } = this.parts;
    const { startByMs, service, allowedRegions } = this.place;
    const forecast = ports.dispatcher.forecastOf(service);
    const wholeMs = ports.directory.expectedWholeMs(service, request.units, allowedRegions);
    const firstMs = ports.directory.expectedFirstMs(service, request.promptTokens, allowedRegions);
    // Until then it certainly waits: what is left of its time begins there.
    const freeFromMs = nowMs + this.restLeftMs(nowMs);
    const patientUntilMs = request.arrivedAtMs + this.patienceMs() - firstMs;
    return {
      inTimeLeftMs: startByMs - freeFromMs,
      usefulLeftMs: Math.min(request.endsAtMs - wholeMs, patientUntilMs) - freeFromMs,
      wholeTimeMs: request.endsAtMs - request.firstTriedAtMs,
      waitMs: forecast.expectedWaitMs(this.place, nowMs),
      lateWaitMs: forecast.expectedLateWaitMs(this.place, nowMs),
    };
  }

  /** How long a caller waits for the first event of a stream before it gives it up. */
  private patienceMs(): number {
    const { request, options } = this.parts;
    const { kind, targetLatencyMs, maxPauseMs } = request.route;
    if (kind !== 'stream') {
      return Infinity;
    }
    return Math.max(
      options.streamPatienceMs,
      targetLatencyMs * options.streamPatienceTargets,
      maxPauseMs * options.streamPatiencePauses,
    );
  }
}

/** When the caller must get the next part of its answer for the answer to be in time, in milliseconds. */
function dueAtMs(
  { firstTriedAtMs, route }: AcceptedRequest,
  lastEventAtMs: number | undefined,
): number {
  return lastEventAtMs === undefined
    ? firstTriedAtMs + route.targetLatencyMs
    : lastEventAtMs + route.maxPauseMs;
}
