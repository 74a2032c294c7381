/** One attempt of a request at a backend: what it holds there, and how it ends. Performs no I/O. */
import type { HeaderValue } from '../../http/header-value.js';
import type { Backend } from '../../routing/backend.js';
import type { RequestRun } from '../crashes/request-run.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AttemptFailure, AttemptHandle, AttemptHandlers } from './attempt.js';
import { isBadAttempt, timesOf } from './attempt-outcome.js';
import { AttemptProgress } from './attempt-progress.js';
import { EndedBackendTimer } from './ended-backend-timer.js';
import { HeldSlot } from './held-slot.js';
import { outgoingRequest } from './outgoing-request.js';
import type { AttemptRecord, RequestPorts } from './request-model.js';
import { estimateOf } from './request-record.js';
import type { RequestRecord } from './request-record.js';

/** Receives what the backend of an attempt sends; see `AttemptHandlers`. */
export type AttemptReceiver = Required<Omit<AttemptHandlers, 'onConnected'>>;

/** What all attempts of a request share. */
export interface AttemptContext {
  readonly request: AcceptedRequest;
  /** The attempt before; undefined for the first one. */
  readonly previous: RunningAttempt | undefined;
  readonly record: RequestRecord;
  readonly ports: RequestPorts;
}

/** What an attempt sends, and who receives its response. */
export interface AttemptStart {
  /** Id of the last event sent to the caller, if the attempt resumes a stream. */
  readonly lastEventId: HeaderValue | undefined;
  /** Whether the process that runs the attempt must be identified. */
  readonly needsProcess: boolean;
  readonly receiver: AttemptReceiver;
  /** Called when the path to the backend is presumed lost. */
  onPathLost(): void;
}

/** An attempt, from the assignment of its slot to its end. */
export class RunningAttempt {
  /** Time of the last data received, in milliseconds. */
  private receivedAtMs = -Infinity;
  private isOver = false;
  private handle: AttemptHandle | undefined;
  private record: AttemptRecord | undefined;
  private crashRun: RequestRun | undefined;
  private responseProgress: AttemptProgress | undefined;
  private stopWatchingPath: (() => void) | undefined;
  private receiver: AttemptReceiver | undefined;
  private readonly endedTimer: EndedBackendTimer;
  private readonly slot: HeldSlot;

  /**
   * @param backend - backend whose slot is assigned to the request
   * @param sentAtMs - time of the send, in milliseconds
   */
  constructor(
    private readonly context: AttemptContext,
    readonly backend: Backend,
    readonly sentAtMs: number,
  ) {
    this.endedTimer = new EndedBackendTimer(context.ports.clock);
    this.slot = new HeldSlot(context.ports);
    this.slot.hold(backend.id);
  }

  /** Whether it has been sent and has not ended. */
  get isActive(): boolean {
    return this.record !== undefined && !this.isOver;
  }

  /** Controls the transfer; undefined before the send and after the end. */
  get transfer(): AttemptHandle | undefined {
    return this.isOver ? undefined : this.handle;
  }

  get lastReceiptAtMs(): number {
    return this.receivedAtMs;
  }

  /** Time since the send, in milliseconds. */
  get sinceSendMs(): number {
    return this.context.ports.clock.now() - this.sentAtMs;
  }

  /** Progress of the response; undefined before the send. */
  get progress(): AttemptProgress | undefined {
    return this.responseProgress;
  }

  /** The attempt as tracked for crash attribution; undefined before the send. */
  get run(): RequestRun | undefined {
    return this.crashRun;
  }

  /** Its log record; undefined before the send. */
  get log(): AttemptRecord | undefined {
    return this.record;
  }

  /** Sends the request. */
  send({ lastEventId, needsProcess, receiver, onPathLost }: AttemptStart): void {
    const { backend, sentAtMs: nowMs } = this;
    this.receiver = receiver;
    const { previous, ports, record, request } = this.context;
    const entry = ports.directory.find(backend.id);
    const content = { bodyBytes: request.body.length, lastEventId };
    this.record = record.addAttempt(backend, estimateOf(entry, nowMs), content, nowMs);
    this.crashRun = ports.crashes.beginRun(request, backend, previous?.run);
    this.stopWatchingPath = entry?.path.subscribeLost(ports.confine(onPathLost));
    this.responseProgress = new AttemptProgress(
      ports.dispatcher,
      backend.id,
      request.promptTokens,
      nowMs,
      previous?.progress?.lastEventAtMs,
      ports.dispatcher.isCold(backend.id, nowMs),
    );
    const roundTripMs = entry?.roundTrip.ms ?? 0;
    const send = { backend, roundTripMs, lastEventId, needsProcess, nowMs };
    this.handle = ports.sender.send(outgoingRequest(request, send, ports.protocol), {
      onConnected: (elapsedMs) => entry?.roundTrip.addSample(elapsedMs),
      ...receiver,
    });
  }

  /** Records that the backend sent data. */
  noteReceipt(): void {
    this.receivedAtMs = this.context.ports.clock.now();
    this.context.ports.directory.find(this.backend.id)?.path.noteActivity(this.receivedAtMs);
  }

  /** Cancels the transfer if nothing was sent yet; returns whether it did. */
  withdraw(): boolean {
    return this.transfer?.withdraw() === true;
  }

  /**
   * Handles the report that the process has ended to which requests were sent before `sentBeforeMs`.
   * The attempt fails unless data that was on its way still arrives.
   */
  handleBackendEnded(sentBeforeMs: number): void {
    if (this.isActive && this.sentAtMs < sentBeforeMs) {
      this.endedTimer.start(
        () => this.receivedAtMs,
        () => this.failEnded(),
      );
    }
  }

  private failEnded(): void {
    const isUnsent = this.withdraw();
    if (!isUnsent) {
      this.transfer?.cancel();
    }
    const detail = 'backend ended';
    this.receiver!.onFailure({ mayHaveRun: !isUnsent, isPortClosed: false, detail });
  }

  /**
   * Cancels the attempt and ends it with `outcome`; silence of a backend that was cold at the send
   * does not count as its failure.
   */
  cancel(outcome: AttemptOutcome, detail: string): void {
    if (this.isActive && outcome !== 'refused') {
      // A cancelled request may still run for a moment and crash the backend.
      this.context.ports.crashes.recordInterrupted(this.crashRun!, true);
    }
    this.transfer?.cancel();
    const isUnanswered = outcome === 'failed' || outcome === 'silent';
    const isSlowStart = isUnanswered && this.responseProgress?.isColdStart === true;
    this.end(isSlowStart ? 'unknown' : outcome, detail);
  }

  /** Records that the backend completed the request and did not state that it failed. */
  recordServed(status: number): void {
    const { ports, request } = this.context;
    this.responseProgress!.recordCompletion(ports.clock.now(), request.workUnits);
    ports.crashes.recordServed(request, status);
  }

  /** Records the failure of an attempt that has ended for crash attribution. */
  recordFailure(failure: AttemptFailure): void {
    this.context.ports.crashes.recordFailure(this.crashRun!, failure);
  }

  /** Ends the attempt and releases its slot; the transfer must be over. */
  end(outcome: AttemptOutcome, detail: string): void {
    this.endedTimer.clear();
    this.stopWatchingPath?.();
    if (!this.isActive) {
      return;
    }
    this.isOver = true;
    const { backend, responseProgress, sinceSendMs } = this;
    const { ports, record, request } = this.context;
    responseProgress?.recordEnd();
    record.endAttempt(this.record!, {
      outcome,
      detail,
      lastedMs: sinceSendMs,
      silentMs: Math.min(sinceSendMs, ports.clock.now() - this.receivedAtMs),
      longestPauseMs: responseProgress?.longestPauseMs ?? 0,
    });
    const isBad = isBadAttempt(outcome, request.route, timesOf(responseProgress, sinceSendMs));
    ports.onTryOver({ backend, route: request.route, isBad });
    this.slot.release(outcome);
  }

  /**
   * Returns the steps that release what the attempt holds after an exception in the processing of
   * its request; each is run although another one throws.
   */
  releaseSteps(): Array<() => void> {
    const { transfer } = this;
    this.isOver = true;
    return [
      () => this.endedTimer.clear(),
      () => this.stopWatchingPath?.(),
      () => transfer?.cancel(),
      () => this.responseProgress?.recordEnd(),
      () => this.slot.release('unknown'),
    ];
  }
}
