/**
 * The wait of one request for a slot, without I/O. The request is submitted to the dispatcher, and
 * the utility of waiting is recomputed until a slot is assigned or waiting is no longer useful to
 * the caller.
 */
import type { TimerHandle } from '../../clock.js';
import type {
  BackendExclusion,
  DispatchRequest,
  PlacementConstraints,
  ResponseDeadline,
} from '../dispatch/dispatch-request.js';
import type { PlacementRefusalReason } from '../dispatch/placement-refusal.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { RequestOptions, RequestPorts } from './request-model.js';
import { isRepeatable } from '../../routing/configuration.js';
import { waitUtility } from './wait-utility.js';
import type { WaitEstimate } from './wait-utility.js';

/** Progress of the response at the start of a wait. */
export interface ResponseProgress {
  /** Time of the last event sent to the caller; undefined before the first. */
  readonly lastEventAtMs: number | undefined;
  /** Whether a part of the response was sent to the caller. */
  readonly hasStarted: boolean;
}

/** Dependencies and parameters of a wait. */
export interface RequestWaitContext {
  readonly request: AcceptedRequest;
  readonly ports: RequestPorts;
  readonly options: RequestOptions;
  readonly constraints: PlacementConstraints;
  /** Response sent to the caller so far. */
  readonly answer: ResponseProgress;
  /** Ids of backends that must not be used. */
  readonly excluded: BackendExclusion;
  /** Excludes backends that are not expected to respond in time; undefined excludes none. */
  readonly deadline?: ResponseDeadline | undefined;
  /** Called when a slot is assigned. */
  onPlaced: DispatchRequest['onPlaced'];
  /**
   * Called after the wait ended without a slot; `reason` is set if the constraints leave no backend,
   * and undefined if further waiting is not useful.
   */
  onAbandoned(reason?: PlacementRefusalReason): void;
}

/** One wait for a slot. */
export class RequestWait {
  private readonly dispatchRequest: DispatchRequest;
  private isOver = false;
  private beganAtMs = 0;
  private reviewTimer: TimerHandle | undefined;
  private otherRegionsTimer: TimerHandle | undefined;

  constructor(private readonly context: RequestWaitContext) {
    const { request, constraints, ports, excluded, deadline, answer, onPlaced } = context;
    const { promptTokens, route } = request;
    const firstDueAtMs = dueAtMs(request, answer.lastEventAtMs);
    this.dispatchRequest = {
      service: constraints.service,
      requiredVersion: constraints.requiredVersion,
      get allowedRegions() {
        return constraints.allowedRegions;
      },
      homeOwner: request.homeOwner,
      tier: request.tier,
      rankInTier: request.rankInTier,
      arrivedAtMs: request.arrivedAtMs,
      startByMs: firstDueAtMs - ports.directory.expectedFirstEventMs(constraints, promptTokens),
      units: request.workUnits,
      promptTokens,
      firstDueAtMs,
      maxPauseMs: route.maxPauseMs,
      deadline,
      // After a move to another backend the request is not risked on a path that may also be lost.
      isRepeatable: isRepeatable(route) && excluded.size === 0,
      excluded,
      onPlaced: (backend, nowMs, version) => {
        this.end();
        onPlaced(backend, nowMs, version);
      },
    };
  }

  /** Whether it has begun and not ended. */
  get isWaiting(): boolean {
    return !this.isOver;
  }

  /** Whether a slot would be assigned at once. */
  get isPlaceable(): boolean {
    const { clock, dispatcher } = this.context.ports;
    return dispatcher.canPlace(this.dispatchRequest, clock.now());
  }

  /** Submits the request; a slot may be assigned before this returns. */
  begin(): void {
    const { clock, dispatcher } = this.context.ports;
    this.beganAtMs = clock.now();
    if (!this.endIfUnplaceable(clock.now())) {
      dispatcher.submit(this.dispatchRequest, clock.now());
      this.review();
      this.scheduleOtherRegions();
    }
  }

  /** Withdraws the request from the dispatcher. */
  cancel(): void {
    if (!this.isOver) {
      const { clock, dispatcher } = this.context.ports;
      this.end();
      dispatcher.withdraw(this.dispatchRequest, clock.now());
    }
  }

  /** Returns the Retry-After for the caller, in milliseconds. */
  retryAfterMs(): number {
    const { request, ports, options } = this.context;
    const { clock, dispatcher, random } = ports;
    const nowMs = clock.now();
    const forecast = dispatcher.forecastOf(this.dispatchRequest.service);
    const slotFreeMs = this.isEvacuated
      ? Infinity
      : forecast.expectedRecoveryMs(this.dispatchRequest, nowMs);
    const earliestMs = Math.min(
      options.overloadRetryMaxMs,
      Math.max(options.overloadRetryMinMs, slotFreeMs),
    );
    const restLeftMs = this.restLeftMs(nowMs);
    if (restLeftMs > earliestMs) {
      // No backend is available earlier, however little time the caller has left.
      return restLeftMs + options.overloadRetryMinMs * random.next();
    }
    // Jitter, so that callers refused together do not retry together.
    const spreadMs = earliestMs * (1 + random.next());
    return Math.min(spreadMs, (request.deadlineAtMs - nowMs) * options.maxRetryShare);
  }

  /** Whether zone evacuations leave no backend for the request, for an unknown time. */
  get isEvacuated(): boolean {
    return this.context.ports.directory.isEvacuated(this.dispatchRequest);
  }

  /**
   * Time until the first eligible backend ends the backoff that it requested (`restMs`), in
   * milliseconds; 0 if one is not in backoff.
   */
  private restLeftMs(nowMs: number): number {
    return this.context.ports.directory.restLeftMs(this.dispatchRequest, nowMs);
  }

  private end(): void {
    this.isOver = true;
    this.context.ports.clock.clearTimeout(this.reviewTimer);
    this.context.ports.clock.clearTimeout(this.otherRegionsTimer);
  }

  /**
   * Has the dispatcher consider other regions once the request has waited long enough for that. The
   * timer is restarted if it fires early or if the required wait has grown meanwhile.
   */
  private scheduleOtherRegions(): void {
    const { clock, dispatcher } = this.context.ports;
    const { service, arrivedAtMs } = this.dispatchRequest;
    const leftMs = dispatcher.remoteDelayMs(service) - (clock.now() - arrivedAtMs);
    if (this.isOver || leftMs <= 0) {
      return;
    }
    const considerOtherRegions = () => {
      dispatcher.serveAgain(service, clock.now());
      this.scheduleOtherRegions();
    };
    this.otherRegionsTimer = clock.setTimeout(considerOtherRegions, Math.ceil(leftMs));
  }

  /** Ends the wait if it is no longer useful; otherwise schedules the next review. */
  private review(): void {
    if (this.isOver) {
      return;
    }
    const { ports, options, onAbandoned } = this.context;
    const nowMs = ports.clock.now();
    if (this.endIfUnplaceable(nowMs)) {
      return;
    }
    if (!this.shouldKeepWaiting(nowMs)) {
      this.cancel();
      onAbandoned();
      return;
    }
    this.reviewTimer = ports.clock.setTimeout(() => this.review(), options.waitReviewMs);
  }

  /**
   * Ends the wait if the constraints of the request leave no backend; returns whether it did.
   */
  private endIfUnplaceable(nowMs: number): boolean {
    const reason = this.context.ports.dispatcher.placementRefusal(this.dispatchRequest, nowMs);
    if (reason === undefined) {
      return false;
    }
    this.cancel();
    this.context.onAbandoned(reason);
    return true;
  }

  private shouldKeepWaiting(nowMs: number): boolean {
    const { answer, options } = this.context;
    if (this.isEvacuated) {
      return false;
    }
    if (answer.lastEventAtMs !== undefined) {
      return nowMs < this.beganAtMs + options.resumeWaitMs;
    }
    if (answer.hasStarted) {
      return true;
    }
    return waitUtility(this.estimateWait(nowMs)) >= 0;
  }

  private estimateWait(nowMs: number): WaitEstimate {
    const { request, ports } = this.context;
    const { dispatchRequest } = this;
    const { startByMs, service } = dispatchRequest;
    const { dispatcher, directory } = ports;
    const forecast = dispatcher.forecastOf(service);
    const expectedResponseMs = directory.expectedAnswerMs(dispatchRequest, request.workUnits);
    const expectedFirstEventMs = directory.expectedFirstEventMs(
      dispatchRequest,
      request.promptTokens,
    );
    // The request certainly waits until then, so the remaining times count from there.
    const earliestStartMs = nowMs + this.restLeftMs(nowMs);
    const callerWaitsUntilMs = request.arrivedAtMs + this.callerPatienceMs() - expectedFirstEventMs;
    return {
      untilLateMs: startByMs - earliestStartMs,
      untilUselessMs:
        Math.min(request.deadlineAtMs - expectedResponseMs, callerWaitsUntilMs) - earliestStartMs,
      totalTimeMs: request.deadlineAtMs - request.firstAttemptAtMs,
      expectedOnTimeWaitMs: forecast.expectedWaitMs(this.dispatchRequest, nowMs),
      expectedWaitOnceLateMs: forecast.expectedLateWaitMs(this.dispatchRequest, nowMs),
    };
  }

  /**
   * Returns how long a caller waits for the first event of a stream before it gives up, in
   * milliseconds.
   */
  private callerPatienceMs(): number {
    const { request, options } = this.context;
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

/**
 * Returns when the next part of the response is due for the response to be on time, in
 * milliseconds.
 */
function dueAtMs(
  { arrivedAtMs, firstAttemptAtMs, resumedVersion, route }: AcceptedRequest,
  lastEventAtMs: number | undefined,
): number {
  if (lastEventAtMs !== undefined) {
    return lastEventAtMs + route.maxPauseMs;
  }
  // A caller that resumes has received the first event; the next one ends its pause.
  return resumedVersion === undefined
    ? firstAttemptAtMs + route.targetLatencyMs
    : arrivedAtMs + route.maxPauseMs;
}
