/**
 * The lifecycle of one request in a gateway, without I/O: queueing, attempts and response.
 *
 * A request that was sent is sent again only if it is retryable or if it is certain that no backend
 * executed it.
 */
import type { Backend } from '../../routing/backend.js';
import type { ResponseHead, AttemptFailure, CallerReply } from './attempt.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import { AlternativeBackends } from './alternative-backends.js';
import { AttemptDeparture } from './attempt-departure.js';
import type { CurrentAttempt, DepartureCause } from './attempt-departure.js';
import { AttemptSequence } from './attempt-sequence.js';
import { BackendMove } from './backend-move.js';
import { FailureReply } from './failure-reply.js';
import { FaultBoundary } from './fault-boundary.js';
import type { ExitEvidence } from '../crashes/interrupted-runs.js';
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import type { PlacementConstraints } from '../dispatch/dispatch-request.js';
import type { PlacementRefusalReason } from '../dispatch/placement-refusal.js';
import { isServerError, outcomeOfFailure } from './attempt-outcome.js';
import { ResponseHeadReader } from './response-head-reader.js';
import { ResponseRelay } from './response-relay.js';
import type { BufferedResponse } from './response-relay.js';
import { isCompletingRequests } from './ended-backend-timer.js';
import { ProcessCheck } from './process-check.js';
import { OneShotTimer } from './one-shot-timer.js';
import type { RequestWait } from './request-wait.js';
import { RequestWaits } from './request-waits.js';
import { RetryRules } from './retry-rules.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AttemptStage, RequestOptions, RequestPorts } from './request-model.js';
import { RequestRecord } from './request-record.js';
import type { AttemptReceiver, RunningAttempt } from './running-attempt.js';
import { StreamBinding } from './stream-binding.js';
import type { SuccessorAttempt } from './successor-attempt.js';

/** Processes one accepted request until it ends. */
export class ProxiedRequest {
  private phase: AttemptStage | 'done' = 'waiting';
  private wait: RequestWait | undefined;
  private readonly attempts: AttemptSequence;
  private readonly alternatives: AlternativeBackends;
  private readonly retries: RetryRules;
  private readonly failureReply: FailureReply;
  private readonly binding: StreamBinding;
  private readonly record: RequestRecord;
  private readonly heads: ResponseHeadReader;
  private readonly relay: ResponseRelay;
  private readonly processCheck: ProcessCheck;
  private lastResponse: BufferedResponse | undefined;
  private readonly deadlineTimer: OneShotTimer;
  private readonly departure: AttemptDeparture;
  private readonly waits: RequestWaits;
  private readonly move: BackendMove;

  constructor(
    private readonly request: AcceptedRequest,
    reply: CallerReply,
    private readonly ports: RequestPorts,
    options: RequestOptions,
  ) {
    const { clock } = ports;
    const { method, lastEventId, route } = request;
    this.binding = new StreamBinding(request);
    this.alternatives = new AlternativeBackends(this.binding, ports);
    this.record = new RequestRecord(request.arrivedAtMs);
    this.attempts = new AttemptSequence(request, this.record, ports);
    this.heads = new ResponseHeadReader(request, ports);
    this.processCheck = new ProcessCheck(request, this.binding, ports, {
      relayData: (bytes) => this.relayData(bytes),
      receiveEnd: () => this.receiveEnd(),
      leaveProcess: (detail) => this.leaveProcess(detail),
    });
    const relayed = { method, lastEventId, isStream: route.kind === 'stream', clock };
    this.relay = new ResponseRelay(reply, relayed, () => this.processCheck.bindStream());
    this.retries = new RetryRules(request, this.relay, this.alternatives, ports);
    this.departure = new AttemptDeparture(
      request,
      options,
      ports,
      this.alternatives,
      this.retries,
      {
        current: () => this.currentAttempt,
        isPaused: () => this.relay.isPaused,
        canMove: () => this.move.isPossible,
        moveOncePlaced: (cause) => this.move.begin(cause),
      },
    );
    this.waits = new RequestWaits(request, this.binding, ports, options, () => ({
      lastEventAtMs: this.attempt?.progress?.lastEventAtMs,
      hasStarted: this.relay.hasStarted,
    }));
    const { alternatives, attempts, heads, processCheck, relay, retries, waits } = this;
    this.move = new BackendMove(
      { request, attempts, alternatives, waits, retries, relay, processCheck, heads, ports },
      {
        leave: (cause) => this.abandonAttempt(cause),
        continueWith: (successor) => this.continueWith(successor),
        onPathLost: (backendId) => this.departure.leaveLostPath(backendId),
        onFailed: () => this.departure.recheckSoon(),
        onAbandoned: () => this.departure.armSilenceTimer(),
      },
    );
    this.failureReply = new FailureReply(request, reply, ports.protocol, options);
    this.deadlineTimer = new OneShotTimer(clock);
    this.deadlineTimer.start(request.deadlineAtMs - clock.now(), () => this.timeOut());
  }

  /** Whether the request has ended. */
  get isDone(): boolean {
    return this.phase === 'done';
  }

  /** What the request waits for. */
  get stage(): AttemptStage {
    return this.phase === 'done' ? 'waiting' : this.phase;
  }

  /** Which backends may serve the request now. */
  get constraints(): PlacementConstraints {
    return this.binding;
  }

  private get currentAttempt(): CurrentAttempt {
    const { transfer: handle, lastReceiptAtMs } = this.attempt!;
    const { backendId, count } = this.attempts;
    return { handle, backendId, attempts: count, lastReceiptAtMs };
  }

  /** The current attempt, or the last one while none is active. */
  private get attempt(): RunningAttempt | undefined {
    return this.attempts.current;
  }

  /** Starts the wait for a backend. */
  begin(): void {
    const isLate = this.ports.clock.now() >= this.request.deadlineAtMs;
    return isLate ? this.timeOut() : this.waitForBackend();
  }

  /** Handles the disconnect of the caller. */
  handleCallerDisconnect(): void {
    if (this.phase === 'done') {
      return;
    }
    const lateMs = this.request.route.targetLatencyMs * 2;
    const isSilent = this.phase === 'sent' && this.attempt!.sinceSendMs > lateMs;
    this.abortAttempt(isSilent ? 'silent' : 'unknown', 'caller disconnected');
    this.finish(0, 'caller-left');
  }

  /**
   * Moves an unsent request elsewhere if operators no longer permit its backend; returns whether it
   * did.
   */
  withdrawIfUnsent(): boolean {
    const detail = 'operators no longer permit the backend';
    const isSuccessorWithdrawn = this.move.withdrawForbidden(detail);
    const isForbidden =
      this.phase === 'sent' && this.alternatives.isForbidden(this.attempts.backendId);
    if (!isForbidden || !this.withdrawAttempt(detail)) {
      return isSuccessorWithdrawn;
    }
    if (!this.move.promote()) {
      this.retryUnexecuted(this.attempts.backendId);
    }
    return true;
  }

  /** Withdraws the current attempt if nothing of it was sent; returns whether it did. */
  private withdrawAttempt(reason: string): boolean {
    if (this.attempt?.withdraw() !== true) {
      return false;
    }
    this.endAttempt('unknown', `withdrawn before the send: ${reason}`);
    this.retries.release();
    this.attempts.uncount();
    return true;
  }

  /**
   * Handles the report that a backend has ended. Usually its connections are reset, but behind a
   * network partition they are not, and the request would wait until its deadline for a response
   * that cannot arrive.
   */
  handleBackendEnded(id: string, evidence: ExitEvidence, sentBeforeMs = Infinity): void {
    if (!isCompletingRequests(this.ports.directory.find(id), evidence)) {
      this.attempts.handleBackendEnded(id, sentBeforeMs);
    }
  }

  /** Ends an attempt whose events must not follow those that were sent to the caller. */
  private leaveProcess(detail: string): void {
    const isReplaced = this.move.hasSuccessor;
    const mayRetry = this.phase === 'sent' && !isReplaced && this.canRetryElsewhere();
    const mayMove = mayRetry && this.retries.take();
    const { backendId } = this.attempts;
    this.abandonAttempt({ outcome: 'unknown', detail });
    if (this.move.promote()) {
      return;
    }
    if (mayMove) {
      this.retryOnceCharged(backendId);
    } else {
      this.replyWithFailure('stream-unavailable');
    }
  }

  /** Refuses an unsent request that was found to crash the backends that execute it. */
  refuseIfCrashing(): void {
    const isUnanswered = this.phase === 'waiting' || this.phase === 'sent';
    const refusal = isUnanswered ? this.ports.crashes.refusalOf(this.request) : undefined;
    if (refusal !== undefined) {
      this.refuseIfUnsent(refusal, 'it crashes backends');
    }
  }

  /** Refuses a request that no backend has now; `detail` is logged for a withdrawn attempt. */
  refuseIfUnsent({ reason, retryAfterMs }: GatewayRefusal, detail: string): void {
    const isUnsent = !this.move.hasSuccessor && this.withdrawAttempt(detail);
    if (this.phase === 'waiting' || isUnsent) {
      this.replyWithFailure(reason, retryAfterMs);
    }
  }

  /** Refuses or fails a request, unless its response has begun; `detail` is logged. */
  failIfUnanswered(refusal: GatewayRefusal, detail: string): void {
    this.refuseIfUnsent(refusal, detail);
    if (!this.isDone && !this.relay.hasStarted) {
      this.abandonAttempt({ outcome: 'unknown', detail });
      this.replyWithFailure(refusal.reason);
    }
  }

  private waitForBackend(): void {
    this.phase = 'waiting';
    this.departure.clear();
    this.refuseIfCrashing();
    if (this.isDone) {
      return;
    }
    this.wait = this.waits.create(this.alternatives.excluded, {
      onPlaced: (backend, placedAtMs, version) => this.send(backend, placedAtMs, version),
      onAbandoned: (reason) => this.failWait(reason),
    });
    this.wait.begin();
  }

  private failWait(refusal: PlacementRefusalReason | undefined): void {
    const isEvacuated = this.wait?.isEvacuated === true;
    const unplaced = this.alternatives.hasAnyReady ? 'overloaded' : 'no-backend';
    this.replyWithFailure(refusal ?? (isEvacuated ? 'zone-evacuated' : unplaced));
  }

  private send(backend: Backend, nowMs: number, version: SoftwareVersion): void {
    const { relay } = this;
    const attempt = this.attempts.create(backend, nowMs);
    const needsProcess = this.processCheck.isNeededAt(backend);
    this.beginAttempt(attempt, needsProcess ? undefined : version);
    attempt.send({
      lastEventId: relay.lastEventId,
      needsProcess,
      receiver: this.createReceiver(),
      onPathLost: () => this.departure.leaveLostPath(backend.id),
    });
  }

  /** Makes an attempt the current one; `version` is undefined until its process is identified. */
  private beginAttempt(attempt: RunningAttempt, version: SoftwareVersion | undefined): void {
    this.phase = 'sent';
    this.attempts.continueWith(attempt);
    this.retries.use();
    this.processCheck.begin(attempt, version);
    this.relay.beginAttempt();
    this.departure.armSilenceTimer();
  }

  /** Returns the receiver of the current attempt's response. */
  private createReceiver(): AttemptReceiver {
    return {
      onProcess: this.processCheck.createReceiver(),
      onHead: (head) => this.receiveHead(head),
      onData: (bytes) => this.receiveData(bytes),
      onEnd: () => this.receiveEnd(),
      onFailure: (failure) => this.failAttempt(failure),
    };
  }

  private continueWith(successor: SuccessorAttempt): void {
    const { attempt, needsProcess, version } = successor.placement;
    this.beginAttempt(attempt, needsProcess ? undefined : version);
    successor.adopt(this.createReceiver());
  }

  /** Ends an attempt at a backend that still has the request. */
  private abandonAttempt({ outcome, detail }: DepartureCause): void {
    this.attempts.noteMayHaveRun();
    this.abortAttempt(outcome, detail);
  }

  private recordReceipt(): void {
    this.attempt!.noteReceipt();
    if (this.move.cancelWait() || this.request.route.kind !== 'stream') {
      this.departure.armSilenceTimer();
    }
  }

  /** Keeps the current attempt, whose backend goes on with a usable response. */
  private endMove(): void {
    if (this.move.cancel('the attempt before it went on')) {
      this.departure.armSilenceTimer();
    }
  }

  private receiveHead(head: ResponseHead): void {
    this.recordReceipt();
    const response = this.heads.read(head);
    if (response === undefined) {
      this.attempt?.transfer?.discardForeignResponse();
      this.failResponse('response does not name the request');
      return;
    }
    this.heads.reportStatement(this.attempt!, response);
    if (response.isNotExecuted || response.isMisdirected) {
      this.handleNotExecuted(response.isMisdirected);
      return;
    }
    if (!this.relay.acceptHead(head)) {
      this.attempt?.transfer?.cancel();
      this.failResponse(`status ${head.status} inside a stream`);
      return;
    }
    if (!isServerError(head.status) && !this.processCheck.mustHoldEvents) {
      this.endMove();
    }
  }

  /**
   * Handles a response that states that the request was not executed or that the backend is not the
   * intended one.
   */
  private handleNotExecuted(isMisdirected: boolean): void {
    const { backendId } = this.attempts;
    const detail = isMisdirected ? 'another backend at its address' : 'it did not run the request';
    this.abortAttempt('refused', detail);
    if (isMisdirected) {
      this.attempts.uncount();
      this.ports.directory.noteMisdirected(backendId);
    }
    if (this.move.promote()) {
      return;
    }
    if (this.retries.takeAfterRefusal(this.attempts.count)) {
      this.retryUnexecuted(backendId);
    } else {
      this.replyWithFailure('backend-refused');
    }
  }

  private receiveData(bytes: Buffer): void {
    this.recordReceipt();
    this.attempt!.log!.bytes += bytes.length;
    if (!this.processCheck.holdData(bytes)) {
      this.relayData(bytes);
    }
  }

  private relayData(bytes: Buffer): void {
    if (!this.relay.isServerFailure) {
      this.endMove();
    }
    const { isForwarded, problem } = this.relay.acceptData(bytes, this.attempt?.transfer);
    if (isForwarded) {
      this.record.setFirstByteTime(this.ports.clock.now());
    }
    if (isForwarded && this.relay.completedEvents > 0) {
      this.phase = 'streaming';
      this.attempt!.progress!.recordEvents(this.relay.completedEvents, this.ports.clock.now());
      this.departure.armSilenceTimer();
    }
    if (problem !== undefined) {
      this.attempt?.transfer?.cancel();
      this.failResponse(problem);
    }
  }

  private receiveEnd(): void {
    if (this.processCheck.holdEnd()) {
      return;
    }
    const response = this.relay.bufferedResponse;
    if (response === undefined || this.relay.isInsideEvent) {
      this.failResponse(response === undefined ? 'no response' : 'stream ended inside an event');
      return;
    }
    this.attempts.noteMayHaveRun();
    const { status } = response.head;
    const hasFailed = isServerError(status);
    const { backendId } = this.attempts;
    if (!hasFailed) {
      this.attempt!.recordServed(status);
    }
    this.endAttempt(hasFailed ? 'failed' : 'answered', `status ${status}`);
    if (hasFailed && this.continueAfterFailure(response, backendId)) {
      return;
    }
    this.completeReply(response);
  }

  /** Continues at another backend, if one may have the request; `response` is kept until then. */
  private continueAfterFailure(response: BufferedResponse, backendId: string): boolean {
    const isReplaced = this.move.hasSuccessor;
    if (!isReplaced && !(this.canRetryElsewhere() && this.retries.take())) {
      return false;
    }
    this.lastResponse = response;
    if (!this.move.promote()) {
      this.retryOnceCharged(backendId);
    }
    return true;
  }

  private completeReply(response: BufferedResponse): void {
    this.record.setFirstByteTime(this.ports.clock.now());
    this.relay.end(response);
    this.finish(response.head.status, 'answered');
  }

  private failAttempt(failure: AttemptFailure): void {
    if (this.phase === 'done' || this.phase === 'waiting') {
      return;
    }
    const { backendId } = this.attempts;
    this.endAttempt(outcomeOfFailure(failure), failure.detail);
    this.attempt!.recordFailure(failure);
    if (failure.mayHaveRun) {
      this.attempts.noteMayHaveRun();
    } else {
      this.attempts.recordUnsent(failure);
      // An attempt beside this one is the first to arrive, and no retry.
      this.retries.release();
    }
    if (this.move.promote()) {
      return;
    }
    if (!failure.mayHaveRun) {
      return this.retries.mayRetryUnsent(failure)
        ? this.retryUnexecuted(backendId)
        : this.replyWithFailure('no-backend');
    }
    if (this.canRetryElsewhere() && this.retries.take()) {
      this.retryOnceCharged(backendId);
    } else {
      this.replyWithFailure('backend-failed');
    }
  }

  /** Fails an attempt without a usable response. */
  private failResponse(detail: string, mayHaveRun = true): void {
    this.failAttempt({ mayHaveRun, isPortClosed: false, detail });
  }

  private canRetryElsewhere(): boolean {
    return (
      this.retries.canLeave(this.attempts.backendId, this.attempts.count) || this.retries.canReturn
    );
  }

  /**
   * Retries once the tenant is charged again at the full cost, since backends may have executed
   * both attempts.
   */
  private retryOnceCharged(fromBackendId: string): void {
    this.phase = 'waiting';
    this.retries.charge((isGranted) => {
      if (isGranted) {
        this.retryElsewhere(fromBackendId);
      } else {
        this.replyWithFailure('backend-failed');
      }
    });
  }

  /** Retries after an attempt that no backend executed; a backend left as sound may go on. */
  private retryUnexecuted(fromBackendId: string): void {
    this.alternatives.readmitLeft();
    this.retryElsewhere(fromBackendId);
  }

  private retryElsewhere(fromBackendId: string): void {
    this.alternatives.exclude(fromBackendId);
    this.retries.limitToAttempts(this.attempts.count);
    this.waitForBackend();
  }

  private timeOut(): void {
    if (this.phase === 'done') {
      return;
    }
    if (this.phase === 'waiting') {
      this.replyWithFailure(this.attempts.mayHaveRun ? 'timed-out' : 'not-started-in-time');
      return;
    }
    const outcome = this.phase === 'sent' ? 'silent' : 'unknown';
    this.abandonAttempt({ outcome, detail: 'deadline exceeded' });
    this.replyWithFailure('timed-out');
  }

  /**
   * Ends the request with the last response of a backend if there is one, else with a refusal of
   * the gateway.
   */
  private replyWithFailure(reason: GatewayRefusal['reason'], retryAfterMs?: number): void {
    // What may have run at a second backend decides what the refusal may promise.
    this.move.cancel('the request ended');
    if (this.relay.hasStarted) {
      this.relay.abort();
      this.finish(0, reason);
      return;
    }
    if (this.lastResponse !== undefined) {
      this.completeReply(this.lastResponse);
      return;
    }
    const nowMs = this.ports.clock.now();
    const failed = { mayHaveRun: this.attempts.mayHaveRun, wait: this.wait, nowMs, retryAfterMs };
    const outcome = this.failureReply.send(reason, failed);
    this.finish(outcome.status, outcome.reason);
  }

  /** Cancels the current attempt, if any; see `RunningAttempt.cancel`. */
  private abortAttempt(outcome: AttemptOutcome, detail: string): void {
    this.clearAttempt();
    this.attempt?.cancel(outcome, detail);
  }

  private endAttempt(outcome: AttemptOutcome, detail: string): void {
    this.clearAttempt();
    this.attempt?.end(outcome, detail);
  }

  /** Stops what waits for the current attempt. */
  private clearAttempt(): void {
    this.departure.clear();
    this.move.cancelWait();
    this.processCheck.end();
  }

  /**
   * Ends the request after an exception in its processing: it gives back what it holds and gets a
   * final answer. A step that fails as well is reported to `onFault` and does not stop the others.
   */
  endAfterFault(onFault: (cause: unknown) => void): void {
    if (this.phase === 'done') {
      return;
    }
    const steps = [
      ...this.attempts.releaseSteps(),
      ...this.move.releaseSteps(),
      () => this.replyWithFailure('internal-error'),
    ];
    const boundary = new FaultBoundary(onFault);
    boundary.runAll(steps);
    if (!this.isDone) {
      boundary.runAll([() => this.relay.abort(), () => this.finish(0, 'internal-error')]);
    }
  }

  private finish(status: number, reason: string): void {
    this.move.cancel('the request ended');
    const { stage } = this;
    const attempts = this.attempts.count;
    const end = this.record.end({ status, reason, stage, attempts }, this.ports.clock.now());
    this.phase = 'done';
    this.deadlineTimer.clear();
    this.departure.clear();
    this.wait?.cancel();
    this.retries.end();
    this.ports.onEnd(this.request, end);
  }
}
