/**
 * The lifecycle of one request in a gateway, without I/O: queueing, attempts and response.
 *
 * A request that was sent is sent again only if it is retryable or if it is certain that no backend
 * executed it.
 */
import { EMPTY_HEADER_VALUE } from '../../http/header-value.js';
import type { Backend } from '../../routing/backend.js';
import type { ResponseHead, AttemptFailure, CallerReply } from './attempt.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import { AlternativeBackends } from './alternative-backends.js';
import { AttemptDeparture } from './attempt-departure.js';
import type { CurrentAttempt, DepartureCause } from './attempt-departure.js';
import { BackendMove } from './backend-move.js';
import { FailureReply } from './failure-reply.js';
import { FaultBoundary } from './fault-boundary.js';
import type { ExitEvidence } from '../crashes/interrupted-runs.js';
import type { BackendResponseInfo } from '../admission/caller-protocol.js';
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import type { PlacementConstraints } from '../dispatch/dispatch-request.js';
import type { PlacementRefusalReason } from '../dispatch/placement-refusal.js';
import { isServerError, outcomeOfFailure } from './attempt-outcome.js';
import { ResponseRelay } from './response-relay.js';
import type { BufferedResponse } from './response-relay.js';
import { EndedBackendTimer, isCompletingRequests } from './ended-backend-timer.js';
import { ProcessCheck } from './process-check.js';
import { OneShotTimer } from './one-shot-timer.js';
import type { RequestWait } from './request-wait.js';
import { RequestWaits } from './request-waits.js';
import { RetryRules } from './retry-rules.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AttemptStage, RequestOptions, RequestPorts } from './request-model.js';
import { addStatement, RequestRecord } from './request-record.js';
import { RunningAttempt } from './running-attempt.js';
import { StreamBinding } from './stream-binding.js';

/** Processes one accepted request until it ends. */
export class ProxiedRequest {
  private phase: AttemptStage | 'done' = 'waiting';
  private wait: RequestWait | undefined;
  /** The current attempt, or the last one while none is active. */
  private attempt: RunningAttempt | undefined;
  private attempts = 0;
  private readonly alternatives: AlternativeBackends;
  private readonly retries: RetryRules;
  private readonly failureReply: FailureReply;
  private readonly binding: StreamBinding;
  private readonly record: RequestRecord;
  private readonly relay: ResponseRelay;
  private readonly processCheck: ProcessCheck;
  /** Whether a backend may have executed the request. */
  private mayHaveRun = false;
  private lastResponse: BufferedResponse | undefined;
  private readonly deadlineTimer: OneShotTimer;
  private readonly departure: AttemptDeparture;
  private readonly waits: RequestWaits;
  private readonly move: BackendMove;
  private readonly endedTimer: EndedBackendTimer;

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
    this.move = new BackendMove(request, this.alternatives, this.waits, ports, {
      currentBackendId: () => this.backendId,
      abandonAttempt: (cause) => this.abandonAttempt(cause),
      send: (backend, placedAtMs, version) => this.send(backend, placedAtMs, version),
      onAbandoned: () => this.departure.armSilenceTimer(),
    });
    this.failureReply = new FailureReply(request, reply, ports.protocol, options);
    this.deadlineTimer = new OneShotTimer(clock);
    this.endedTimer = new EndedBackendTimer(clock);
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
    return { handle, backendId: this.backendId, attempts: this.attempts, lastReceiptAtMs };
  }

  /** Id of the backend of the current attempt, or of the last one. */
  private get backendId(): string {
    return this.attempt!.backend.id;
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
    const sinceSendMs = this.ports.clock.now() - (this.attempt?.sentAtMs ?? 0);
    const isSilent = this.phase === 'sent' && sinceSendMs > this.request.route.targetLatencyMs * 2;
    this.abortAttempt(isSilent ? 'silent' : 'unknown', 'caller disconnected');
    this.finish(0, 'caller-left');
  }

  /**
   * Moves an unsent request elsewhere if operators no longer permit its backend; returns whether it
   * did.
   */
  withdrawIfUnsent(): boolean {
    const isForbidden = this.phase === 'sent' && this.alternatives.isForbidden(this.backendId);
    if (!isForbidden || !this.withdrawAttempt('operators no longer permit the backend')) {
      return false;
    }
    this.retryUnexecuted(this.backendId);
    return true;
  }

  /** Withdraws the current attempt if nothing of it was sent; returns whether it did. */
  private withdrawAttempt(reason: string): boolean {
    if (this.attempt?.withdraw() !== true) {
      return false;
    }
    this.endAttempt('unknown', `withdrawn before the send: ${reason}`);
    this.retries.release();
    this.attempts -= 1;
    return true;
  }

  /**
   * Handles the report that a backend has ended. Usually its connections are reset, but behind a
   * network partition they are not, and the request would wait until its deadline for a response
   * that cannot arrive.
   */
  handleBackendEnded(id: string, evidence: ExitEvidence): void {
    const isAssigned = this.attempt?.isActive === true && this.backendId === id;
    if (isAssigned && !isCompletingRequests(this.ports.directory.find(id), evidence)) {
      this.endedTimer.start(
        () => this.attempt!.lastReceiptAtMs,
        () => this.failEndedBackend(),
      );
    }
  }

  /** Ends an attempt whose events must not follow those that were sent to the caller. */
  private leaveProcess(detail: string): void {
    const mayMove = this.phase === 'sent' && this.canRetryElsewhere() && this.retries.take();
    const { backendId } = this;
    this.abandonAttempt({ outcome: 'unknown', detail });
    if (mayMove) {
      this.retryOnceCharged(backendId);
    } else {
      this.replyWithFailure('stream-unavailable');
    }
  }

  private failEndedBackend(): void {
    const isUnsent = this.attempt?.withdraw() === true;
    if (!isUnsent) {
      this.attempt?.transfer?.cancel();
    }
    this.failResponse('backend ended', !isUnsent);
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
    if (this.phase === 'waiting' || this.withdrawAttempt(detail)) {
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
    const { request, ports, relay, attempt: previous } = this;
    const attempt = new RunningAttempt(request, backend, nowMs, this.record, ports);
    this.phase = 'sent';
    this.attempt = attempt;
    this.attempts += 1;
    this.retries.use();
    const needsProcess = this.processCheck.begin(attempt, version);
    relay.beginAttempt();
    this.departure.armSilenceTimer();
    attempt.send({
      previous,
      lastEventId: relay.lastEventId,
      needsProcess,
      receiver: {
        onProcess: this.processCheck.createReceiver(),
        onHead: (head) => this.receiveHead(head),
        onData: (bytes) => this.receiveData(bytes),
        onEnd: () => this.receiveEnd(),
        onFailure: (failure) => this.failAttempt(failure),
      },
      onPathLost: () => this.departure.leaveLostPath(backend.id),
    });
  }

  /** Ends an attempt at a backend that still has the request. */
  private abandonAttempt({ outcome, detail }: DepartureCause): void {
    this.mayHaveRun = true;
    this.abortAttempt(outcome, detail);
  }

  private recordReceipt(): void {
    this.attempt!.noteReceipt();
    if (this.move.cancel() || this.request.route.kind !== 'stream') {
      this.departure.armSilenceTimer();
    }
  }

  private receiveHead(head: ResponseHead): void {
    this.recordReceipt();
    const response = this.ports.protocol.readAnswer(head.status, head.headers);
    if ((response.requestId ?? EMPTY_HEADER_VALUE) !== this.request.requestId) {
      this.attempt?.transfer?.discardForeignResponse();
      this.failResponse('response does not name the request');
      return;
    }
    if (!response.isMisdirected) {
      this.reportStatement(response);
    }
    if (response.isNotExecuted || response.isMisdirected) {
      this.handleNotExecuted(response.isMisdirected);
      return;
    }
    if (!this.relay.acceptHead(head)) {
      this.attempt?.transfer?.cancel();
      this.failResponse(`status ${head.status} inside a stream`);
    }
  }

  private reportStatement({ statement, isNotExecuted }: BackendResponseInfo): void {
    const { backend, sentAtMs, log } = this.attempt!;
    addStatement(log!, statement);
    this.ports.onStatement({
      backend,
      requestId: this.request.requestId,
      statement,
      sentAtMs,
      isTurnedAway: isNotExecuted,
    });
  }

  /**
   * Handles a response that states that the request was not executed or that the backend is not the
   * intended one.
   */
  private handleNotExecuted(isMisdirected: boolean): void {
    const { backendId } = this;
    const detail = isMisdirected ? 'another backend at its address' : 'it did not run the request';
    this.abortAttempt('refused', detail);
    if (isMisdirected) {
      this.attempts -= 1;
      this.ports.directory.noteMisdirected(backendId);
    }
    if (this.retries.takeAfterRefusal(this.attempts)) {
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
    this.mayHaveRun = true;
    const { status } = response.head;
    const hasFailed = isServerError(status);
    const { backendId } = this;
    if (!hasFailed) {
      this.attempt!.progress!.recordCompletion(this.ports.clock.now(), this.request.workUnits);
      this.ports.crashes.recordServed(this.request, status);
    }
    this.endAttempt(hasFailed ? 'failed' : 'answered', `status ${status}`);
    if (hasFailed && this.canRetryElsewhere() && this.retries.take()) {
      this.lastResponse = response;
      this.retryOnceCharged(backendId);
      return;
    }
    this.completeReply(response);
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
    const { backendId } = this;
    this.endAttempt(outcomeOfFailure(failure), failure.detail);
    this.attempt!.recordFailure(failure);
    if (!failure.mayHaveRun) {
      this.attempts -= 1;
      if (failure.isSilent === true) {
        this.ports.directory.find(backendId)?.path.noteHungConnection();
      }
      return this.retries.mayRetryUnsent(failure)
        ? this.retryUnexecuted(backendId)
        : this.replyWithFailure('no-backend');
    }
    this.mayHaveRun = true;
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
    return this.retries.canLeave(this.backendId, this.attempts) || this.retries.canReturn;
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
    this.retries.limitToAttempts(this.attempts);
    this.waitForBackend();
  }

  private timeOut(): void {
    if (this.phase === 'done') {
      return;
    }
    if (this.phase === 'waiting') {
      this.replyWithFailure(this.mayHaveRun ? 'timed-out' : 'not-started-in-time');
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
    if (this.relay.hasStarted) {
      this.relay.abort();
      this.finish(0, reason);
      return;
    }
    if (this.lastResponse !== undefined) {
      this.completeReply(this.lastResponse);
      return;
    }
    const { mayHaveRun, wait } = this;
    const nowMs = this.ports.clock.now();
    const outcome = this.failureReply.send(reason, { mayHaveRun, wait, nowMs, retryAfterMs });
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
    this.move.cancel();
    this.endedTimer.clear();
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
    // The outcome of an attempt may not be recorded yet.
    this.mayHaveRun ||= this.attempts > 0;
    const steps = [
      () => this.endedTimer.clear(),
      ...(this.attempt?.releaseSteps() ?? []),
      () => this.replyWithFailure('internal-error'),
    ];
    const boundary = new FaultBoundary(onFault);
    steps.forEach((step) => boundary.run(step));
    if (!this.isDone) {
      boundary.run(() => this.relay.abort());
      boundary.run(() => this.finish(0, 'internal-error'));
    }
  }

  private finish(status: number, reason: string): void {
    const { attempts, stage } = this;
    const end = this.record.end({ status, reason, stage, attempts }, this.ports.clock.now());
    this.phase = 'done';
    this.deadlineTimer.clear();
    this.departure.clear();
    this.wait?.cancel();
    this.move.cancel();
    this.retries.end();
    this.ports.onEnd(this.request, end);
  }
}
