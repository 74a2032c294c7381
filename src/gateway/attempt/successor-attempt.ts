/**
 * An attempt that runs beside the one that it is to replace, without I/O.
 *
 * A backend that sends nothing may be sound and go on, so its attempt is not given up for one that
 * may be refused, cut off or silent as well. The response of the successor is held until it shows
 * that its backend runs the request.
 */
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { BackendResponseInfo } from '../admission/caller-protocol.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import type { IdentifiedProcess } from '../processes/process-identifier.js';
import type { AttemptFailure, ResponseHead } from './attempt.js';
import { isEventStreamStatus, isServerError, outcomeOfFailure } from './attempt-outcome.js';
import { EventStreamParser } from './event-stream-parser.js';
import { HeldResponse } from './held-response.js';
import { OneShotTimer } from './one-shot-timer.js';
import type { ProcessCheck } from './process-check.js';
import type { RequestPorts } from './request-model.js';
import type { ResponseHeadReader } from './response-head-reader.js';
import type { ResponseRelay } from './response-relay.js';
import type { AttemptReceiver, RunningAttempt } from './running-attempt.js';

/**
 * Time after the response head of a stream without an event until the head alone counts as proof, in
 * milliseconds: both backends must not work on one stream for longer.
 */
const HEAD_PROOF_MS = 300;

/** How an attempt ended that did not replace the one before it. */
export interface UnusedSuccessor {
  readonly backendId: string;
  /** Whether a byte of the request may have reached a backend of the service. */
  readonly hasArrived: boolean;
  /** Whether its backend may have executed the request. */
  readonly mayHaveRun: boolean;
  /** Whether it counts as one of the attempts that the route allows. */
  readonly isCounted: boolean;
  /** Whether the request may be sent elsewhere in its place. */
  readonly hasFailed: boolean;
}

/** The request of a successor. */
export interface SuccessorRequest {
  readonly heads: ResponseHeadReader;
  readonly relay: Pick<ResponseRelay, 'canContinueWith'>;
  readonly processCheck: Pick<ProcessCheck, 'mayFollow'>;
  readonly ports: Pick<RequestPorts, 'clock' | 'directory'>;
}

/** Called when it is known what becomes of a successor. */
export interface SuccessorCallbacks {
  /** The backend runs the request. */
  onProven(): void;
  /** The attempt has ended and is not used. */
  onUnused(end: UnusedSuccessor): void;
}

/** Where and how a successor is sent. */
export interface SuccessorPlacement {
  readonly attempt: RunningAttempt;
  /** Software version that its backend is known to run. */
  readonly version: SoftwareVersion;
  /** Whether the process that runs it must be identified before it may replace the other one. */
  readonly needsProcess: boolean;
  readonly isStream: boolean;
}

/** How an attempt ends that does not replace the one before it. */
interface SuccessorEnd {
  readonly outcome: AttemptOutcome;
  readonly detail: string;
  readonly hasArrived?: boolean;
  readonly mayHaveRun?: boolean;
  readonly isCounted?: boolean;
  readonly hasFailed?: boolean;
}

/** A successor, from its send until it replaces the attempt before it or ends. */
export class SuccessorAttempt {
  private head: ResponseHead | undefined;
  private response: BackendResponseInfo | undefined;
  private readonly held = new HeldResponse();
  private heldBytes = 0;
  private readonly parser: EventStreamParser;
  private process: IdentifiedProcess | undefined;
  private isIdentified = false;
  private hasProof = false;
  private isOver = false;
  /** Receives the response once the attempt has replaced the other one. */
  private receiver: AttemptReceiver | undefined;
  private readonly headTimer: OneShotTimer;

  constructor(
    readonly placement: SuccessorPlacement,
    private readonly request: SuccessorRequest,
    private readonly callbacks: SuccessorCallbacks,
  ) {
    const { clock } = request.ports;
    this.parser = new EventStreamParser(clock);
    this.headTimer = new OneShotTimer(clock);
  }

  get backendId(): string {
    return this.placement.attempt.backend.id;
  }

  /** Receives what the backend sends, before and after the attempt replaces the other one. */
  readonly handlers: AttemptReceiver = {
    onProcess: (process) => (this.receiver?.onProcess ?? this.receiveProcess)(process),
    onHead: (head) => (this.receiver?.onHead ?? this.receiveHead)(head),
    onData: (bytes) => (this.receiver?.onData ?? this.receiveData)(bytes),
    onEnd: () => (this.receiver?.onEnd ?? this.receiveEnd)(),
    onFailure: (failure) => (this.receiver?.onFailure ?? this.receiveFailure)(failure),
  };

  /** Replaces the other attempt: passes on what was held, and everything that follows. */
  adopt(receiver: AttemptReceiver): void {
    this.stop();
    this.receiver = receiver;
    // Before the data: the caller's backpressure may pause the attempt again.
    this.placement.attempt.transfer?.resume();
    if (this.isIdentified) {
      receiver.onProcess(this.process);
    }
    if (this.head !== undefined && this.isRunning) {
      receiver.onHead(this.head);
    }
    const whileRunning = (step: () => void) => this.isRunning && step();
    this.held.release(
      (bytes) => whileRunning(() => receiver.onData(bytes)),
      () => whileRunning(() => receiver.onEnd()),
    );
  }

  /** Ends the attempt because the request does not need it; `detail` is logged. */
  discard(detail: string): void {
    if (!this.withdraw(detail, false)) {
      this.cancel({ outcome: 'unknown', detail, hasFailed: false });
    }
  }

  /** Ends the attempt if nothing of it was sent yet; returns whether it did. */
  withdraw(detail: string, hasFailed = true): boolean {
    const isUnsent = this.placement.attempt.withdraw();
    if (isUnsent) {
      const unsent = { hasArrived: false, mayHaveRun: false, isCounted: false };
      const withdrawn = `withdrawn before the send: ${detail}`;
      this.finish({ outcome: 'unknown', detail: withdrawn, hasFailed, ...unsent });
    }
    return isUnsent;
  }

  /** Ends the attempt because its path is presumed lost. */
  leaveLostPath(): void {
    this.cancel({ outcome: 'path-lost', detail: 'the path to it is lost' });
  }

  /** Stops its timer after an exception in the processing of the request. */
  stop(): void {
    this.headTimer.clear();
  }

  private get isRunning(): boolean {
    return this.placement.attempt.isActive;
  }

  private readonly receiveProcess = (process: IdentifiedProcess | undefined): void => {
    const { attempt } = this.placement;
    if (!this.request.processCheck.mayFollow(attempt.backend, process)) {
      const detail = process === undefined ? 'its process is not known' : 'another process';
      this.cancel({ outcome: 'unknown', detail });
      return;
    }
    this.process = process;
    this.isIdentified = true;
    this.proveIfShown();
  };

  private readonly receiveHead = (head: ResponseHead): void => {
    const { attempt, isStream } = this.placement;
    attempt.noteReceipt();
    const response = this.request.heads.read(head);
    if (response === undefined) {
      attempt.transfer?.discardForeignResponse();
      this.fail('response does not name the request');
      return;
    }
    this.head = head;
    this.response = response;
    if (response.isNotExecuted || response.isMisdirected) {
      this.endUnexecuted(response);
    } else if (isServerError(head.status) || !this.request.relay.canContinueWith(head)) {
      this.fail(`status ${head.status}`);
    } else if (isStream && isEventStreamStatus(head.status)) {
      this.headTimer.start(HEAD_PROOF_MS, () => this.recordProof());
    } else {
      this.recordProof();
    }
  };

  private readonly receiveData = (bytes: Buffer): void => {
    this.placement.attempt.noteReceipt();
    this.held.add(bytes);
    this.heldBytes += bytes.length;
    const hasEvent = this.placement.isStream && this.parser.push(bytes).length > 0;
    if (this.parser.problem !== undefined) {
      this.fail(this.parser.problem);
    } else if (hasEvent) {
      this.recordProof();
    }
  };

  private readonly receiveEnd = (): void => {
    if (this.head === undefined || this.parser.hasPartialEvent) {
      this.fail(this.head === undefined ? 'no response' : 'stream ended inside an event');
      return;
    }
    this.held.addEnd();
    this.recordProof();
  };

  private readonly receiveFailure = (failure: AttemptFailure): void => {
    const { mayHaveRun, isSilent, detail } = failure;
    if (!mayHaveRun && isSilent === true) {
      this.request.ports.directory.find(this.backendId)?.path.noteHungConnection();
    }
    this.finish({
      outcome: outcomeOfFailure(failure),
      detail,
      hasArrived: mayHaveRun,
      mayHaveRun,
      isCounted: mayHaveRun,
    });
    this.placement.attempt.recordFailure(failure);
  };

  private recordProof(): void {
    this.hasProof = true;
    this.proveIfShown();
  }

  private proveIfShown(): void {
    if (!this.hasProof) {
      return;
    }
    const { attempt, needsProcess } = this.placement;
    // A stream that has sent no event to its caller may continue in any process.
    const mayBeAny = this.request.processCheck.mayFollow(attempt.backend, undefined);
    if (!needsProcess || this.isIdentified || mayBeAny) {
      this.callbacks.onProven();
    } else {
      attempt.transfer?.pause();
    }
  }

  private endUnexecuted({ isMisdirected }: BackendResponseInfo): void {
    if (isMisdirected) {
      this.request.ports.directory.noteMisdirected(this.backendId);
    }
    this.cancel({
      outcome: 'refused',
      detail: isMisdirected ? 'another backend at its address' : 'it did not run the request',
      mayHaveRun: false,
      isCounted: !isMisdirected,
    });
  }

  /** Ends an attempt without a usable response. */
  private fail(detail: string): void {
    this.placement.attempt.transfer?.cancel();
    this.receiveFailure({ mayHaveRun: true, isPortClosed: false, detail });
  }

  private cancel(end: SuccessorEnd): void {
    const { attempt } = this.placement;
    if (!this.isOver) {
      this.recordUnused();
      attempt.cancel(end.outcome, end.detail);
      this.reportUnused(end);
    }
  }

  private finish(end: SuccessorEnd): void {
    if (!this.isOver) {
      this.recordUnused();
      this.placement.attempt.end(end.outcome, end.detail);
      this.reportUnused(end);
    }
  }

  /** Records what the backend sent, which the request does not use. */
  private recordUnused(): void {
    const { attempt } = this.placement;
    this.isOver = true;
    this.stop();
    attempt.log!.bytes += this.heldBytes;
    if (this.response !== undefined) {
      this.request.heads.reportStatement(attempt, this.response);
    }
  }

  private reportUnused(end: SuccessorEnd): void {
    const { hasArrived = true, mayHaveRun = true, isCounted = true, hasFailed = true } = end;
    this.callbacks.onUnused({
      backendId: this.backendId,
      hasArrived,
      mayHaveRun,
      isCounted,
      hasFailed,
    });
  }
}
