/**
 * The life of one request in a gateway, without I/O: waiting, attempts, answer.
 *
 * A request that was sent is never sent again unless it may be repeated or it
 * is certain that no back end ran it.
 */
import type { Backend } from '../../routing/backend.js';
import type { AnswerHead, AttemptFailure, AttemptHandle, CallerReply } from './attempt.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import { AttemptProgress } from './attempt-progress.js';
import type { EndingEvidence } from '../crashes/broken-runs.js';
import type { RequestRun } from '../crashes/crashing-requests.js';
import type { BackendAnswerHead } from '../admission/caller-protocol.js';
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import type { HomeRefusalReason } from '../homes/home-refusal.js';
import { sendRefusal } from '../admission/send-refusal.js';
import { isBadTry, outcomeOf } from './try-verdict.js';
import { AnswerRelay } from './answer-relay.js';
import type { HeldAnswer } from './answer-relay.js';
import { OneShotTimer } from './one-shot-timer.js';
import { outgoingRequest } from './outgoing-request.js';
import { refusalPauseMs } from './refusal-pause.js';
import { RequestWait } from './request-wait.js';
import type { AcceptedRequest } from './accepted-request.js';
import { silencePatienceMs } from './request-model.js';
import type { RequestOptions, RequestPorts } from './request-model.js';
import { RequestRecord } from './request-record.js';

/** Connections that do not come up in time, of one request; each takes its share of the caller's time. */
const MAX_CONNECT_FAILURES = 4;
const MIN_TIME_FOR_ATTEMPT_MS = 5;
const HTTP_SERVER_ERROR = 500;
/**
 * Time for what a back end had sent before it ended to arrive, in milliseconds: some ways between zones. Without
 * it an answer that was ready would be dropped for the word of its back end's end that overtook it.
 */
const ENDED_GRACE_MS = 300;
/** Pause between two looks for a free slot elsewhere while a back end is silent, in milliseconds. */
const SILENCE_REVIEW_MS = 100;
const NONE: ReadonlySet<string> = new Set();

type Phase = 'waiting' | 'sent' | 'streaming' | 'done';

/** One request from its acceptance to its end. */
export class ProxiedRequest {
  private phase: Phase = 'waiting';
  private wait: RequestWait | undefined;
  private backend: Backend | undefined;
  private attempt: AttemptHandle | undefined;
  private attemptStartedAtMs = 0;
  /** When the back end of the attempt was heard last, in milliseconds. */
  private heardAtMs = -Infinity;
  /** The attempt as far as crashes are concerned. */
  private run: RequestRun | undefined;
  private attempts = 0;
  private connectFailures = 0;
  private readonly excluded = new Set<string>();
  private readonly record: RequestRecord;
  private readonly relay: AnswerRelay;
  private progress: AttemptProgress | undefined;
  private stopWatchingPath: (() => void) | undefined;
  /** Whether some back end may have run the request. */
  private mayHaveRun = false;
  private lastAnswer: HeldAnswer | undefined;
  private readonly endTimer: OneShotTimer;
  /** For the silence of the back end. */
  private readonly stepTimer: OneShotTimer;
  /** For what its back end had sent before it ended. */
  private readonly endedTimer: OneShotTimer;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly reply: CallerReply,
    private readonly ports: RequestPorts,
    private readonly options: RequestOptions,
  ) {
    const { method, lastEventId, route } = request;
    this.record = new RequestRecord(request.arrivedAtMs);
    this.relay = new AnswerRelay(reply, { method, lastEventId, isStream: route.kind === 'stream' });
    const leftMs = Math.max(0, request.endsAtMs - ports.clock.now());
    this.endTimer = new OneShotTimer(ports.clock);
    this.stepTimer = new OneShotTimer(ports.clock);
    this.endedTimer = new OneShotTimer(ports.clock);
    this.endTimer.start(leftMs, () => this.timeOut());
  }

  /** Whether its end has come. */
  get isDone(): boolean {
    return this.phase === 'done';
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
    this.dropAttempt(isBackendSilent ? 'silent' : 'unknown', 'the caller left');
    this.finish(0, 'caller-left');
  }

  /** Goes elsewhere if operators permit its back end no more and nothing was sent there yet; says whether. */
  withdrawUnsent(): boolean {
    const { backend, attempt, phase } = this;
    if (phase !== 'sent' || backend === undefined || attempt === undefined) {
      return false;
    }
    if (!this.isForbidden(backend) || !attempt.withdraw()) {
      return false;
    }
    this.endAttempt(
      'unknown',
      'taken back before it was sent: operators permit the back end no more',
    );
    this.attempts -= 1;
    this.moveOn(backend.id);
    return true;
  }

  /** Whether it must not go there any more. A share of a roll-out that is used up says nothing of those in it. */
  private isForbidden(backend: Backend): boolean {
    const known = this.ports.directory.find(backend.id);
    const reason = known && this.ports.dispatcher.restriction(this.request, known);
    return reason !== undefined && reason !== 'version-closed';
  }

  /**
   * A back end is known to have ended. Mostly its connections are reset, but behind a cut they say nothing, and the
   * request would wait until its time was over for an answer that cannot come.
   */
  noteBackendEnded(backendId: string, evidence: EndingEvidence): void {
    const isThere = this.attempt !== undefined && this.backend?.id === backendId;
    // One that leaves closes its port first and serves on what it has; its connections show when it ends.
    const isServingOn =
      evidence !== 'replaced' && this.ports.directory.find(backendId)?.isLeaving === true;
    if (isThere && !isServingOn && !this.endedTimer.isRunning) {
      this.endedTimer.start(ENDED_GRACE_MS, () => this.loseEnded());
    }
  }

  private loseEnded(): void {
    // Bytes that arrive show that it lives, whatever was concluded from its port.
    const quietMs = this.ports.clock.now() - this.heardAtMs;
    if (quietMs < ENDED_GRACE_MS) {
      this.endedTimer.start(ENDED_GRACE_MS - quietMs, () => this.loseEnded());
      return;
    }
    const isUnsent = this.attempt?.withdraw() === true;
    if (!isUnsent) {
      this.attempt?.cancel();
    }
    this.fail({
      mayHaveRun: !isUnsent,
      isPortClosed: false,
      detail: 'its back end has ended',
    });
  }

  /** What waits is answered, if it was found to crash the back ends that run it. */
  refuseCrashing(): void {
    const refusal = this.phase === 'waiting' && this.ports.crashes.refusalOf(this.request);
    if (refusal) {
      this.answerFailure(refusal.reason, refusal.retryAfterMs);
    }
  }

  private waitForBackend(): void {
    this.phase = 'waiting';
    this.stepTimer.clear();
    this.refuseCrashing();
    if (this.isDone) {
      return;
    }
    this.wait = new RequestWait({
      request: this.request,
      ports: this.ports,
      options: this.options,
      answer: {
        lastEventAtMs: this.progress?.lastEventAtMs,
        hasStarted: this.relay.hasStarted,
      },
      excluded: this.excluded,
      onPlaced: (backend, placedAtMs) => this.send(backend, placedAtMs),
      onGivenUp: (reason) => this.giveUpWaiting(reason),
    });
    this.wait.begin();
  }

  private giveUpWaiting(homeReason: HomeRefusalReason | undefined): void {
    if (homeReason === undefined && this.wait?.isEvacuated === true) {
      this.answerFailure('zone-evacuated');
      return;
    }
    const hasBackends = this.ports.dispatcher.hasReady(this.request, NONE);
    this.answerFailure(homeReason ?? (hasBackends ? 'overloaded' : 'no-backend'));
  }

  private send(backend: Backend, nowMs: number): void {
    const { request, ports } = this;
    this.phase = 'sent';
    this.backend = backend;
    this.attempts += 1;
    const known = ports.directory.find(backend.id);
    const failureShare = known?.failureShare(nowMs) ?? 0;
    const { occupied = 0, distance = 'same-zone' } = known ?? {};
    const believed = { occupied, failureShare, distance } as const;
    this.record.noteSent(backend, believed, request.body.length, nowMs);
    this.attemptStartedAtMs = nowMs;
    this.heardAtMs = -Infinity;
    this.run = ports.crashes.begin(request, backend, this.run);
    this.stopWatchingPath = known?.path.watch(() => this.leaveLostPath());
    this.relay.beginAttempt();
    this.progress = new AttemptProgress(
      ports.dispatcher,
      backend.id,
      request.promptTokens,
      nowMs,
      this.progress?.lastEventAtMs,
      ports.dispatcher.isCold(backend.id, nowMs),
    );
    const { lastEventId } = this.relay;
    const roundTripMs = known?.roundTrip.ms ?? 0;
    this.armSilenceTimer();
    this.attempt = ports.sender.send(
      outgoingRequest(request, { backend, roundTripMs, lastEventId, nowMs }, ports.protocol),
      {
        onConnected: (elapsedMs) => known?.roundTrip.learn(elapsedMs),
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
    this.stepTimer.clear();
    if (!this.mayRepeat() || this.attempts >= route.maxAttempts) {
      return;
    }
    const patienceMs = silencePatienceMs(route, this.options);
    this.stepTimer.start(patienceMs, () => this.giveUpSilentBackend());
  }

  private giveUpSilentBackend(): void {
    if (!this.canRepeatElsewhere()) {
      return;
    }
    if (!this.hasRoomElsewhere(this.backend!.id)) {
      // Silence alone is no reason to break it off: it may go on here sooner than a slot is free elsewhere.
      this.stepTimer.start(SILENCE_REVIEW_MS, () => this.giveUpSilentBackend());
      return;
    }
    if (this.takeRepeat()) {
      this.leaveWhenCharged('silent', 'silent');
    }
  }

  /** A request that may be repeated does not wait for the silence that shows it what is known by now. */
  private leaveLostPath(): void {
    if (!this.canRepeatElsewhere() || !this.hasReachableOther() || !this.takeRepeat()) {
      return;
    }
    this.leaveWhenCharged('path-lost', 'the path to it is lost');
  }

  /** Leaves a back end that has the request still. It may go on there unless a further run is granted. */
  private leaveWhenCharged(outcome: AttemptOutcome, detail: string): void {
    const { attempt, heardAtMs } = this;
    const backendId = this.backend!.id;
    this.ports.chargeAgain(this.request, (isGranted) => {
      const hasMoved = this.attempt !== attempt || this.heardAtMs !== heardAtMs;
      if (!isGranted || hasMoved || this.isDone) {
        return;
      }
      this.mayHaveRun = true;
      this.dropAttempt(outcome, detail);
      this.moveOn(backendId);
    });
  }

  /** Whether a back end that may serve the request stands on a path that is trusted. */
  private hasReachableOther(): boolean {
    const left = new Set([...this.excluded, this.backend!.id]);
    return this.ports.dispatcher.hasReachable(this.request, left, this.ports.clock.now());
  }

  private hasRoomElsewhere(backendId: string): boolean {
    const { dispatcher, clock } = this.ports;
    return dispatcher.hasRoom(this.request, new Set([...this.excluded, backendId]), clock.now());
  }

  private noteHeard(): void {
    this.heardAtMs = this.ports.clock.now();
    this.ports.directory.find(this.backend!.id)?.path.noteHeard(this.heardAtMs);
  }

  private receiveHead(head: AnswerHead): void {
    this.noteHeard();
    const answer = this.ports.protocol.readAnswer(head.status, head.headers);
    if (answer.requestId !== undefined && answer.requestId !== this.request.requestId) {
      this.attempt?.cancel();
      this.failAfterSend('the answer is for another request');
      return;
    }
    if (!answer.isMisdirected) {
      this.hearStatement(answer);
    }
    if (answer.isNotExecuted || answer.isMisdirected) {
      this.dropRefused(answer.isMisdirected);
      return;
    }
    if (!this.relay.takeHead(head)) {
      this.attempt?.cancel();
      this.failAfterSend(`status ${head.status} inside a stream`);
    }
  }

  private hearStatement({ statement, isNotExecuted }: BackendAnswerHead): void {
    this.record.noteStatement(statement);
    this.ports.onStatement({
      backend: this.backend!,
      requestId: this.request.requestId,
      statement,
      sentAtMs: this.attemptStartedAtMs,
      isTurnedAway: isNotExecuted,
    });
  }

  /** The back end declined: the connection may be kept, but its answer is of no use. */
  private dropRefused(isMisdirected: boolean): void {
    const backendId = this.backend!.id;
    const detail = isMisdirected ? 'another one is at its address' : 'it did not run the request';
    this.dropAttempt('refused', detail);
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
    this.noteHeard();
    this.record.noteBytes(bytes.length);
    const result = this.relay.takeData(bytes, this.attempt);
    if (result === 'overlong-event') {
      this.attempt?.cancel();
      this.failAfterSend('an event is too long');
      return;
    }
    if (result === 'held') {
      return;
    }
    this.record.noteFirstByte(this.ports.clock.now());
    if (this.relay.completedEvents > 0) {
      this.phase = 'streaming';
      this.progress!.noteEvents(this.relay.completedEvents, this.ports.clock.now());
      this.armSilenceTimer();
    }
  }

  private receiveEnd(): void {
    const answer = this.relay.heldAnswer;
    if (answer === undefined) {
      this.failAfterSend('no answer');
      return;
    }
    if (this.relay.isInsideEvent) {
      this.failAfterSend('the stream ended inside an event');
      return;
    }
    this.mayHaveRun = true;
    const { status } = answer.head;
    const isServerError = status >= HTTP_SERVER_ERROR;
    const backendId = this.backend!.id;
    if (!isServerError) {
      this.learnSpeed(backendId);
      this.progress!.noteWhole(this.ports.clock.now());
      this.ports.crashes.noteServed(this.request);
    }
    this.endAttempt(isServerError ? 'failed' : 'answered', `status ${status}`);
    if (isServerError && this.canRepeatElsewhere() && this.takeRepeat()) {
      this.lastAnswer = answer;
      this.runAgain(backendId);
      return;
    }
    this.endReply(answer);
  }

  private learnSpeed(backendId: string): void {
    if (this.progress!.isColdStart) {
      return;
    }
    const elapsedMs = this.ports.clock.now() - this.attemptStartedAtMs;
    this.ports.dispatcher.learnSpeed(backendId, this.request.units, elapsedMs);
  }

  private endReply(answer: HeldAnswer): void {
    this.record.noteFirstByte(this.ports.clock.now());
    this.relay.end(answer);
    this.finish(answer.head.status, 'answered');
  }

  private fail(failure: AttemptFailure): void {
    if (this.phase === 'done' || this.phase === 'waiting') {
      return;
    }
    const backendId = this.backend!.id;
    this.endAttempt(outcomeOf(failure), failure.detail);
    this.noteBroken(failure);
    if (!failure.mayHaveRun) {
      this.attempts -= 1;
      // A closed port is known at once, and no other request is sent there for now.
      this.connectFailures += failure.isPortClosed ? 0 : 1;
      if (failure.isSilent === true) {
        this.ports.directory.find(backendId)?.path.noteHungConnection();
      }
      if (this.connectFailures <= MAX_CONNECT_FAILURES && this.hasTime()) {
        this.moveOn(backendId);
        return;
      }
      this.answerFailure('no-backend');
      return;
    }
    this.mayHaveRun = true;
    if (this.canRepeatElsewhere() && this.takeRepeat()) {
      this.runAgain(backendId);
      return;
    }
    this.answerFailure('backend-failed');
  }

  /** The back end may have ended, by this request or together with it. */
  private noteBroken({ isPortClosed, mayHaveRun, isSilent }: AttemptFailure): void {
    const { crashes } = this.ports;
    if (isPortClosed) {
      crashes.noteEnded(this.backend!.id, 'port-closed');
    } else if (mayHaveRun && isSilent !== true) {
      crashes.noteBroken(this.run!, false);
    }
  }

  /** The answer is of no use; the request may have run. */
  private failAfterSend(detail: string): void {
    this.fail({ mayHaveRun: true, isPortClosed: false, detail });
  }

  private mayRepeat(): boolean {
    const { kind, isResumable } = this.request.route;
    return kind === 'safe' ? !this.relay.hasStarted : kind === 'stream' && isResumable;
  }

  private canRepeatElsewhere(): boolean {
    const { route } = this.request;
    const others = new Set([...this.excluded, this.backend!.id]);
    const hasOther = this.ports.dispatcher.hasAwake(this.request, others, this.ports.clock.now());
    return hasOther && this.mayRepeat() && this.attempts < route.maxAttempts && this.hasTime();
  }

  private hasTime(): boolean {
    return this.request.endsAtMs - this.ports.clock.now() > MIN_TIME_FOR_ATTEMPT_MS;
  }

  private takeRepeat(): boolean {
    return this.ports.takeRepeat(this.request.service);
  }

  /** A further run costs its tenant as much as the first: back ends may have run both. */
  private runAgain(fromBackendId: string): void {
    this.phase = 'waiting';
    this.ports.chargeAgain(this.request, (isGranted) => {
      if (this.isDone) {
        return;
      }
      if (isGranted) {
        this.moveOn(fromBackendId);
      } else {
        this.answerFailure('backend-failed');
      }
    });
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
    this.dropAttempt(this.phase === 'sent' ? 'silent' : 'unknown', 'the time was over');
    this.answerFailure('timed-out');
  }

  /** Ends the request with the last answer of a back end if there is one, else with the gateway's own. */
  private answerFailure(reason: GatewayRefusal['reason'], retryAfterMs?: number): void {
    if (this.relay.hasStarted) {
      this.relay.abort();
      this.finish(0, reason);
      return;
    }
    if (this.lastAnswer !== undefined) {
      this.endReply(this.lastAnswer);
      return;
    }
    if (!this.mayHaveRun) {
      this.refuse({ reason, retryAfterMs: retryAfterMs ?? this.retryAfterMs(reason) });
      return;
    }
    this.refuse({ reason: reason === 'timed-out' ? reason : 'backend-failed' });
  }

  private retryAfterMs(reason: GatewayRefusal['reason']): number {
    const { wait, options } = this;
    const leftMs = this.request.endsAtMs - this.ports.clock.now();
    const queuePauseMs = wait && (() => wait.retryAfterMs());
    return refusalPauseMs(reason, { options, queuePauseMs, leftMs });
  }

  private refuse(refusal: GatewayRefusal): void {
    const { requestId } = this.request;
    const status = sendRefusal(this.reply, this.ports.protocol, requestId, refusal);
    this.finish(status, refusal.reason);
  }

  /** The gateway ends the try for its slowness, or its caller did; a cold back end is slow without fault. */
  private dropAttempt(outcome: AttemptOutcome, detail: string): void {
    if (this.attempt !== undefined && outcome !== 'refused') {
      // What was broken off may go on there for a moment, and end the back end.
      this.ports.crashes.noteBroken(this.run!, true);
    }
    this.attempt?.cancel();
    const isUnanswered = outcome === 'failed' || outcome === 'silent';
    const isSlowStart = isUnanswered && this.progress?.isColdStart === true;
    this.endAttempt(isSlowStart ? 'unknown' : outcome, detail);
  }

  private endAttempt(outcome: AttemptOutcome, detail: string): void {
    this.stepTimer.clear();
    this.endedTimer.clear();
    this.stopWatchingPath?.();
    if (this.attempt === undefined || this.backend === undefined) {
      return;
    }
    this.attempt = undefined;
    this.progress?.noteOver();
    this.record.noteTryOver(outcome, detail, this.progress?.longestPauseMs ?? 0);
    const nowMs = this.ports.clock.now();
    const { route } = this.request;
    const isBad = isBadTry(outcome, route, {
      firstEventMs: this.progress?.firstEventMs ?? nowMs - this.attemptStartedAtMs,
      longestPauseMs: this.progress?.longestPauseMs ?? 0,
      isColdStart: this.progress?.isColdStart ?? false,
    });
    this.ports.onTryOver({ backend: this.backend, route, isBad });
    this.ports.dispatcher.finish(this.backend.id, outcome, nowMs);
  }

  private finish(status: number, reason: string): void {
    const { clock } = this.ports;
    const nowMs = clock.now();
    this.phase = 'done';
    this.endTimer.clear();
    this.stepTimer.clear();
    this.wait?.cancel();
    this.ports.onEnd(this.request, this.record.end(status, reason, this.attempts, nowMs));
  }
}
