/**
 * The life of one request in a gateway, without I/O: waiting, attempts, answer.
 *
 * A request that was sent is never sent again unless it may be repeated or it
 * is certain that no back end ran it.
 */
import type { TimerHandle } from '../clock.js';
import type { Backend } from '../routing/backend.js';
import type { AnswerHead, AttemptFailure, AttemptHandle, CallerReply } from './attempt.js';
import type { AttemptOutcome } from './backend-health.js';
import { endToEndHeaders } from './caller-protocol.js';
import { AttemptProgress } from './attempt-progress.js';
import type { DispatchRequest } from './dispatch-request.js';
import { EventSplitter } from './event-stream.js';
import type { GatewayRefusal } from './gateway-refusal.js';
import { sendRefusal } from './send-refusal.js';
import type { AcceptedRequest, RequestOptions, RequestPorts, RequestTry } from './request-model.js';

const MAX_CONNECT_FAILURES = 4;
const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;
const MIN_TIME_FOR_ATTEMPT_MS = 5;
const HTTP_ERROR = 400;
const HTTP_SERVER_ERROR = 500;
const FRAMING_HEADERS = new Set(['content-length']);
const NO_HEADERS = new Set<string>();

type Phase = 'waiting' | 'sent' | 'streaming' | 'done';

/** One request from its acceptance to its end. */
export class ProxiedRequest {
  private phase: Phase = 'waiting';
  private placement: DispatchRequest | undefined;
  private backend: Backend | undefined;
  private attempt: AttemptHandle | undefined;
  private attemptStartedAtMs = 0;
  private attempts = 0;
  private connectFailures = 0;
  private readonly excluded = new Set<string>();
  private readonly tries: RequestTry[] = [];
  private head: AnswerHead | undefined;
  /** The head that the caller was sent; undefined until its reply has begun. */
  private repliedHead: AnswerHead | undefined;
  private buffered: Buffer[] = [];
  private bufferedBytes = 0;
  private splitter = new EventSplitter();
  private lastEventId: string | undefined;
  private firstPlacedAtMs: number | undefined;
  private firstByteAtMs: number | undefined;
  private longestPauseMs = 0;
  private progress: AttemptProgress | undefined;
  /** Whether some back end may have run the request. */
  private mayHaveRun = false;
  private lastAnswer: { head: AnswerHead; body: Buffer } | undefined;
  private readonly endTimer: TimerHandle;
  private stepTimer: TimerHandle | undefined;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly reply: CallerReply,
    private readonly ports: RequestPorts,
    private readonly options: RequestOptions,
  ) {
    this.lastEventId = request.lastEventId;
    const leftMs = Math.max(0, request.endsAtMs - ports.clock.now());
    this.endTimer = ports.clock.setTimeout(() => this.timeOut(), leftMs);
  }

  /** Whether its end has come. */
  get isDone(): boolean {
    return this.phase === 'done';
  }

  private get hasStartedReply(): boolean {
    return this.repliedHead !== undefined;
  }

  /** Offers the request to the back ends. */
  begin(): void {
    this.waitForBackend();
  }

  /** The caller closed its connection. */
  callerLeft(): void {
    if (this.phase === 'done') {
      return;
    }
    const waitedForHeadMs = this.ports.clock.now() - this.attemptStartedAtMs;
    const isBackendSilent =
      this.phase === 'sent' && waitedForHeadMs > this.request.route.targetLatencyMs * 2;
    this.dropAttempt(isBackendSilent ? 'failed' : 'unknown', 'the caller left');
    this.finish(0, 'caller-left');
  }

  private waitForBackend(): void {
    const { request, ports } = this;
    const nowMs = ports.clock.now();
    const firstDueAtMs = this.nextEventDueAtMs();
    this.phase = 'waiting';
    this.head = undefined;
    this.placement = {
      service: request.service,
      tier: request.tier,
      rankInTier: request.rankInTier,
      arrivedAtMs: request.arrivedAtMs,
      startByMs:
        firstDueAtMs - ports.directory.expectedFirstMs(request.service, request.promptTokens),
      units: request.units,
      promptTokens: request.promptTokens,
      firstDueAtMs,
      maxPauseMs: request.route.maxPauseMs,
      excluded: this.excluded,
      onPlaced: (backend, placedAtMs) => this.send(backend, placedAtMs),
    };
    this.setStepTimer(this.firstLookMs(), () => this.reviewWait());
    ports.dispatcher.submit(this.placement, nowMs);
  }

  /** When the caller must get the next part of its answer for the answer to be in time, in milliseconds. */
  private nextEventDueAtMs(): number {
    const { arrivedAtMs, route } = this.request;
    const lastEventAtMs = this.progress?.lastEventAtMs;
    return lastEventAtMs === undefined
      ? arrivedAtMs + route.targetLatencyMs
      : lastEventAtMs + route.maxPauseMs;
  }

  /** Time until it is reckoned whether waiting is of use, in milliseconds. */
  private firstLookMs(): number {
    return this.request.route.targetLatencyMs * this.options.earlyRefusalShare;
  }

  /** Refuses early what cannot be in time, so that the caller may come back when it can. */
  private reviewWait(): void {
    if (this.phase !== 'waiting' || this.placement === undefined) {
      return;
    }
    const nowMs = this.ports.clock.now();
    const waitLeftMs = this.longestWaitMs(nowMs);
    if (waitLeftMs > 0 && (this.mustNotBeRefusedEarly() || this.canStartInTime(nowMs))) {
      this.setStepTimer(waitLeftMs, () => this.giveUpWaiting());
      return;
    }
    this.giveUpWaiting();
  }

  /** One that was refused before, or whose caller has a part of the answer, is not sent away again. */
  private mustNotBeRefusedEarly(): boolean {
    return this.request.isReturning || this.hasStartedReply;
  }

  private canStartInTime(nowMs: number): boolean {
    const { placement, ports } = this;
    return nowMs + ports.dispatcher.expectedWaitMs(placement!, nowMs) < placement!.startByMs;
  }

  /** Longest time that it may still wait, in milliseconds. */
  private longestWaitMs(nowMs: number): number {
    return Math.min(this.request.endsAtMs, this.waitUntilMs()) - nowMs;
  }

  private waitUntilMs(): number {
    const { request, options, placement, progress } = this;
    if (progress?.lastEventAtMs !== undefined) {
      return progress.lastEventAtMs + options.resumeWaitMs;
    }
    if (!request.isReturning) {
      return placement!.startByMs;
    }
    const { arrivedAtMs, endsAtMs, route } = request;
    const longestMs = (endsAtMs - arrivedAtMs) * options.waitTimeShare;
    return arrivedAtMs + Math.min(route.targetLatencyMs * options.lateWaitShare, longestMs);
  }

  private giveUpWaiting(): void {
    if (this.phase !== 'waiting') {
      return;
    }
    const { directory, dispatcher, clock } = this.ports;
    const { service, isReturning } = this.request;
    const hasBackends = directory.countReady(service) > 0;
    if (hasBackends && !isReturning) {
      dispatcher.noteShed(service, clock.now());
    }
    this.answerFailure(hasBackends ? 'overloaded' : 'no-backend');
  }

  private send(backend: Backend, nowMs: number): void {
    const { request, ports } = this;
    this.placement = undefined;
    this.phase = 'sent';
    this.backend = backend;
    this.attempts += 1;
    this.tries.push({
      backend: backend.id,
      afterMs: nowMs - request.arrivedAtMs,
      occupied: ports.directory.find(backend.id)?.occupied ?? 0,
      slots: backend.slots,
      outcome: 'under-way',
      detail: '',
    });
    this.attemptStartedAtMs = nowMs;
    this.firstPlacedAtMs ??= nowMs;
    this.buffered = [];
    this.bufferedBytes = 0;
    this.splitter = new EventSplitter();
    this.progress = new AttemptProgress(
      ports.dispatcher,
      backend.id,
      request.promptTokens,
      nowMs,
      this.progress?.lastEventAtMs,
    );
    const headers = ports.protocol.attemptHeaders(endToEndHeaders(request.headers, NO_HEADERS), {
      requestId: request.requestId,
      remainingMs: Math.max(1, Math.floor(request.endsAtMs - nowMs)),
      backendId: backend.id,
      tenant: request.tenant,
      lastEventId: this.lastEventId,
    });
    const { method, path, body } = request;
    this.armSilenceTimer();
    this.attempt = ports.sender.send(
      { backend, method, path, headers, body },
      {
        onHead: (head) => this.receiveHead(head),
        onData: (bytes) => this.receiveData(bytes),
        onEnd: () => this.receiveEnd(),
        onFailure: (failure) => this.fail(failure),
      },
    );
  }

  /** A request that may be tried elsewhere does not wait for a silent back end until its end. */
  private armSilenceTimer(): void {
    const { route } = this.request;
    this.clearStepTimer();
    if (!this.mayRepeat() || this.attempts >= route.maxAttempts) {
      return;
    }
    const { safeHeadShare, streamSilenceMs } = this.options;
    const silenceMs =
      route.kind === 'safe' ? route.targetLatencyMs * safeHeadShare : streamSilenceMs;
    this.setStepTimer(silenceMs, () => this.giveUpSilentBackend());
  }

  private giveUpSilentBackend(): void {
    if (!this.canRepeatElsewhere() || !this.takeRepeat()) {
      return;
    }
    const failedId = this.backend!.id;
    this.mayHaveRun = true;
    this.dropAttempt('failed', 'silent');
    this.moveOn(failedId);
  }

  private receiveHead(head: AnswerHead): void {
    const answer = this.ports.protocol.readAnswer(head.status, head.headers);
    if (answer.requestId !== undefined && answer.requestId !== this.request.requestId) {
      this.attempt?.cancel();
      this.fail({ mayHaveRun: true, detail: 'the answer is for another request' });
      return;
    }
    if (answer.isNotExecuted || answer.isMisdirected) {
      this.dropRefused(answer.isMisdirected);
      return;
    }
    if (!this.fitsBegunReply(head)) {
      this.attempt?.cancel();
      this.fail({ mayHaveRun: true, detail: `status ${head.status} inside a stream` });
      return;
    }
    this.head = head;
  }

  /** A reply that has begun is only continued by an answer that repeats its status and content type. */
  private fitsBegunReply(head: AnswerHead): boolean {
    const { repliedHead } = this;
    return (
      repliedHead === undefined ||
      (head.status === repliedHead.status &&
        head.headers['content-type'] === repliedHead.headers['content-type'])
    );
  }

  /** The back end declined: the connection may be kept, but its answer is of no use. */
  private dropRefused(isMisdirected: boolean): void {
    const backendId = this.backend!.id;
    const detail = isMisdirected ? 'another one is at its address' : 'it did not run the request';
    this.dropAttempt(isMisdirected ? 'failed' : 'refused', detail);
    if (isMisdirected) {
      this.attempts -= 1;
      this.ports.directory.noteMisdirected(backendId);
    }
    const canRepeat = this.attempts < this.request.route.maxAttempts && this.hasTime();
    if (canRepeat && this.ports.takeRepeat(this.request.service)) {
      this.moveOn(backendId);
      return;
    }
    this.answerFailure('backend-refused');
  }

  private receiveData(bytes: Buffer): void {
    if (this.head === undefined) {
      return;
    }
    if (this.isStreamAnswer()) {
      this.receiveStreamData(bytes);
      return;
    }
    if (this.hasStartedReply) {
      this.forward(bytes);
      return;
    }
    this.buffered.push(bytes);
    this.bufferedBytes += bytes.length;
    if (this.bufferedBytes > MAX_BUFFERED_ANSWER_BYTES) {
      this.startReply();
      this.forward(Buffer.concat(this.buffered));
      this.buffered = [];
    }
  }

  private isStreamAnswer(): boolean {
    return this.request.route.kind === 'stream' && this.head!.status < HTTP_ERROR;
  }

  private receiveStreamData(bytes: Buffer): void {
    const events = this.splitter.push(bytes);
    if (this.splitter.isOverlong) {
      this.attempt?.cancel();
      this.fail({ mayHaveRun: true, detail: 'an event is too long' });
      return;
    }
    if (events.length === 0) {
      return;
    }
    this.startReply();
    this.phase = 'streaming';
    this.progress!.noteEvents(events.length, this.ports.clock.now());
    this.armSilenceTimer();
    for (const { id } of events) {
      this.lastEventId = id ?? this.lastEventId;
    }
    this.forward(Buffer.concat(events.map((event) => event.bytes)));
  }

  private startReply(): void {
    if (this.hasStartedReply) {
      return;
    }
    this.repliedHead = this.head;
    this.firstByteAtMs = this.ports.clock.now();
    const dropped = this.request.route.kind === 'stream' ? FRAMING_HEADERS : NO_HEADERS;
    this.reply.start(this.head!.status, endToEndHeaders(this.head!.rawHeaders, dropped));
  }

  private forward(bytes: Buffer): void {
    if (this.reply.write(bytes)) {
      return;
    }
    const { attempt } = this;
    attempt?.pause();
    this.reply.onceDrained(() => attempt?.resume());
  }

  private receiveEnd(): void {
    const { head } = this;
    if (head === undefined) {
      this.fail({ mayHaveRun: true, detail: 'no answer' });
      return;
    }
    if (this.isStreamAnswer() && this.splitter.hasPartialEvent) {
      this.fail({ mayHaveRun: true, detail: 'the stream ended inside an event' });
      return;
    }
    this.mayHaveRun = true;
    const isServerError = head.status >= HTTP_SERVER_ERROR;
    const backendId = this.backend!.id;
    if (!isServerError) {
      const elapsedMs = this.ports.clock.now() - this.attemptStartedAtMs;
      this.ports.dispatcher.learnSpeed(backendId, this.request.units, elapsedMs);
      this.progress!.noteWhole(this.ports.clock.now());
    }
    this.endAttempt(isServerError ? 'failed' : 'answered', `status ${head.status}`);
    if (isServerError && this.canRepeatElsewhere() && this.takeRepeat()) {
      this.lastAnswer = { head, body: Buffer.concat(this.buffered) };
      this.moveOn(backendId);
      return;
    }
    this.endReply(head, Buffer.concat(this.buffered));
  }

  private endReply(head: AnswerHead, body: Buffer): void {
    if (this.hasStartedReply) {
      this.reply.end();
    } else {
      this.firstByteAtMs = this.ports.clock.now();
      this.reply.start(head.status, this.wholeAnswerHeaders(head, body));
      this.reply.end(body);
    }
    this.finish(head.status, 'answered');
  }

  private wholeAnswerHeaders(head: AnswerHead, body: Buffer): string[] {
    const kept = endToEndHeaders(head.rawHeaders, FRAMING_HEADERS);
    const isHead = this.request.method === 'HEAD';
    const length = isHead ? head.headers['content-length'] : `${body.length}`;
    return typeof length === 'string' ? [...kept, 'Content-Length', length] : kept;
  }

  private fail(failure: AttemptFailure): void {
    if (this.phase === 'done' || this.phase === 'waiting') {
      return;
    }
    const backendId = this.backend!.id;
    this.endAttempt('failed', failure.detail);
    if (!failure.mayHaveRun) {
      this.attempts -= 1;
      this.connectFailures += 1;
      if (this.connectFailures <= MAX_CONNECT_FAILURES && this.hasTime()) {
        this.moveOn(backendId);
        return;
      }
      this.answerFailure('no-backend');
      return;
    }
    this.mayHaveRun = true;
    if (this.canRepeatElsewhere() && this.takeRepeat()) {
      this.moveOn(backendId);
      return;
    }
    this.answerFailure('backend-failed');
  }

  private mayRepeat(): boolean {
    const { kind, isResumable } = this.request.route;
    if (kind === 'safe') {
      return !this.hasStartedReply;
    }
    return kind === 'stream' && isResumable;
  }

  private canRepeatElsewhere(): boolean {
    const { route, service } = this.request;
    const others = new Set([...this.excluded, this.backend!.id]);
    const hasOther = this.ports.directory.countReady(service, others) > 0;
    return hasOther && this.mayRepeat() && this.attempts < route.maxAttempts && this.hasTime();
  }

  private hasTime(): boolean {
    return this.request.endsAtMs - this.ports.clock.now() > MIN_TIME_FOR_ATTEMPT_MS;
  }

  private takeRepeat(): boolean {
    return this.ports.takeRepeat(this.request.service);
  }

  private moveOn(fromBackendId: string): void {
    this.excluded.add(fromBackendId);
    this.waitForBackend();
  }

  private timeOut(): void {
    if (this.phase === 'done') {
      return;
    }
    if (this.phase === 'waiting') {
      this.answerFailure(this.mayHaveRun ? 'timed-out' : 'not-started-in-time');
      return;
    }
    this.mayHaveRun = true;
    this.dropAttempt(this.phase === 'sent' ? 'failed' : 'unknown', 'the time was over');
    this.answerFailure('timed-out');
  }

  /** Ends the request with the last answer of a back end if there is one, else with the gateway's own. */
  private answerFailure(reason: GatewayRefusal['reason']): void {
    if (this.hasStartedReply) {
      this.reply.abort();
      this.finish(0, reason);
      return;
    }
    if (this.lastAnswer !== undefined) {
      this.endReply(this.lastAnswer.head, this.lastAnswer.body);
      return;
    }
    if (!this.mayHaveRun) {
      this.refuse({ reason, retryAfterMs: this.retryAfterMs(reason) });
      return;
    }
    this.refuse({ reason: reason === 'timed-out' ? reason : 'backend-failed' });
  }

  /** A burst passes in seconds; callers that come back at once meet it again, and together. */
  private retryAfterMs(reason: GatewayRefusal['reason']): number {
    const { retryAfterMs, overloadRetryMs, overloadRetrySpreadMs } = this.options;
    return reason === 'overloaded'
      ? overloadRetryMs + this.ports.random.next() * overloadRetrySpreadMs
      : retryAfterMs;
  }

  private refuse(refusal: GatewayRefusal): void {
    const { requestId } = this.request;
    const status = sendRefusal(this.reply, this.ports.protocol, requestId, refusal);
    this.finish(status, refusal.reason);
  }

  private dropAttempt(outcome: AttemptOutcome, detail: string): void {
    this.attempt?.cancel();
    this.endAttempt(outcome, detail);
  }

  private endAttempt(outcome: AttemptOutcome, detail: string): void {
    this.clearStepTimer();
    if (this.attempt === undefined || this.backend === undefined) {
      return;
    }
    this.attempt = undefined;
    const tried = this.tries.at(-1)!;
    tried.outcome = outcome;
    tried.detail = detail;
    this.progress?.noteOver();
    this.longestPauseMs = Math.max(this.longestPauseMs, this.progress?.longestPauseMs ?? 0);
    this.ports.dispatcher.finish(this.backend.id, outcome, this.ports.clock.now());
  }

  private finish(status: number, reason: string): void {
    const { clock, dispatcher } = this.ports;
    const nowMs = clock.now();
    const { arrivedAtMs } = this.request;
    this.phase = 'done';
    clock.clearTimeout(this.endTimer);
    this.clearStepTimer();
    if (this.placement !== undefined) {
      dispatcher.withdraw(this.placement, nowMs);
    }
    this.ports.onEnd(this.request, {
      status,
      reason,
      attempts: this.attempts,
      tries: this.tries,
      waitedMs: (this.firstPlacedAtMs ?? nowMs) - arrivedAtMs,
      firstByteMs: this.firstByteAtMs === undefined ? undefined : this.firstByteAtMs - arrivedAtMs,
      totalMs: nowMs - arrivedAtMs,
      longestPauseMs: this.longestPauseMs,
    });
  }

  private setStepTimer(delayMs: number, callback: () => void): void {
    this.clearStepTimer();
    this.stepTimer = this.ports.clock.setTimeout(callback, Math.max(0, delayMs));
  }

  private clearStepTimer(): void {
    if (this.stepTimer !== undefined) {
      this.ports.clock.clearTimeout(this.stepTimer);
      this.stepTimer = undefined;
    }
  }
}
