/**
 * Moves a request to another backend. Its attempt continues until the next backend has shown that it
 * runs the request.
 */
import type { Backend } from '../../routing/backend.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AlternativeBackends } from './alternative-backends.js';
import type { DepartureCause } from './attempt-departure.js';
import type { AttemptSequence } from './attempt-sequence.js';
import type { ProcessCheck } from './process-check.js';
import type { RequestPorts } from './request-model.js';
import type { RequestWait } from './request-wait.js';
import type { RequestWaits } from './request-waits.js';
import type { ResponseHeadReader } from './response-head-reader.js';
import type { ResponseRelay } from './response-relay.js';
import type { RetryRules } from './retry-rules.js';
import { SuccessorAttempt } from './successor-attempt.js';
import type { SuccessorPlacement, UnusedSuccessor } from './successor-attempt.js';

/** The request that is moved. */
export interface MovedRequest {
  readonly request: AcceptedRequest;
  readonly attempts: AttemptSequence;
  readonly alternatives: AlternativeBackends;
  readonly waits: RequestWaits;
  readonly retries: RetryRules;
  readonly relay: ResponseRelay;
  readonly processCheck: ProcessCheck;
  readonly heads: ResponseHeadReader;
  readonly ports: RequestPorts;
}

/** Callbacks of the moves of a request. */
export interface MoveCallbacks {
  /** Ends the current attempt, which another one replaces. */
  leave(cause: DepartureCause): void;
  /** Makes a successor the current attempt. */
  continueWith(successor: SuccessorAttempt): void;
  /** The path to the backend that the request moved to is presumed lost. */
  onPathLost(backendId: string): void;
  /** The next backend has failed the request; the current attempt continues. */
  onFailed(): void;
  /** No slot became free in time; the current attempt continues. */
  onAbandoned(): void;
}

/** The moves of one request, one at a time. */
export class BackendMove {
  private wait: RequestWait | undefined;
  private successor: SuccessorAttempt | undefined;
  private cause: DepartureCause | undefined;

  constructor(
    private readonly moved: MovedRequest,
    private readonly callbacks: MoveCallbacks,
  ) {}

  /** Whether a slot that suits the request is free elsewhere. */
  get isPossible(): boolean {
    if (this.isCrashing) {
      return false;
    }
    const ignore = () => undefined;
    const { waits } = this.moved;
    return waits.createForMove(this.excluded, { onPlaced: ignore, onAbandoned: ignore })
      .isPlaceable;
  }

  /** Whether an attempt runs beside the current one. */
  get hasSuccessor(): boolean {
    return this.successor !== undefined;
  }

  /** Sends the request elsewhere once a slot is free there. */
  begin(cause: DepartureCause): void {
    this.cancelWait();
    if (this.isCrashing || this.hasSuccessor) {
      return;
    }
    this.wait = this.moved.waits.createForMove(this.excluded, {
      onPlaced: (backend, placedAtMs, version) => {
        if (this.isCrashing) {
          this.release(backend);
          return;
        }
        this.cause = cause;
        this.start(backend, placedAtMs, version);
      },
      onAbandoned: () => this.callbacks.onAbandoned(),
    });
    this.wait.begin();
  }

  /** Stops waiting for a slot; returns whether a wait was in progress. */
  cancelWait(): boolean {
    const wasWaiting = this.wait?.isWaiting === true;
    this.wait?.cancel();
    return wasWaiting;
  }

  /** Ends the move because the request does not need it; returns whether one was in progress. */
  cancel(detail: string): boolean {
    const { hasSuccessor } = this;
    this.successor?.discard(detail);
    return this.cancelWait() || hasSuccessor;
  }

  /** Continues with the successor of an attempt that has ended; returns false if there is none. */
  promote(): boolean {
    const { hasSuccessor } = this;
    this.adopt();
    return hasSuccessor;
  }

  /** Ends an unsent successor whose backend is no longer permitted; returns whether it did. */
  withdrawForbidden(detail: string): boolean {
    const { successor } = this;
    const isForbidden =
      successor !== undefined && this.moved.alternatives.isForbidden(successor.backendId);
    return isForbidden && successor.withdraw(detail);
  }

  /** Like `RunningAttempt.releaseSteps`, without those of the attempt beside the current one. */
  releaseSteps(): Array<() => void> {
    const { successor } = this;
    this.successor = undefined;
    return [() => void this.cancelWait(), () => successor?.stop()];
  }

  private start(backend: Backend, placedAtMs: number, version: SoftwareVersion): void {
    const { attempts, processCheck, relay, request } = this.moved;
    const placement: SuccessorPlacement = {
      attempt: attempts.create(backend, placedAtMs),
      version,
      needsProcess: processCheck.isNeededAt(backend),
      isStream: request.route.kind === 'stream',
    };
    const successor = new SuccessorAttempt(placement, this.moved, {
      onProven: () => this.adopt(),
      onUnused: (end) => this.recordUnused(end),
    });
    this.successor = successor;
    placement.attempt.send({
      lastEventId: relay.lastEventId,
      needsProcess: placement.needsProcess,
      receiver: successor.handlers,
      onPathLost: () => this.handleLostPath(successor),
    });
  }

  private handleLostPath(successor: SuccessorAttempt): void {
    if (this.successor === successor) {
      successor.leaveLostPath();
    } else {
      this.callbacks.onPathLost(successor.backendId);
    }
  }

  private adopt(): void {
    const { successor, cause } = this;
    if (successor !== undefined) {
      this.leaveCurrent(cause!);
      this.successor = undefined;
      this.callbacks.continueWith(successor);
    }
  }

  private leaveCurrent(cause: DepartureCause): void {
    const { alternatives, attempts } = this.moved;
    if (attempts.current!.isActive) {
      alternatives.recordLeft(attempts.backendId);
      this.callbacks.leave(cause);
    } else {
      alternatives.exclude(attempts.backendId);
    }
  }

  private recordUnused(end: UnusedSuccessor): void {
    const { alternatives, attempts, retries } = this.moved;
    this.successor = undefined;
    alternatives.exclude(end.backendId);
    retries.useBeside(end);
    if (!end.isCounted) {
      attempts.uncount();
    }
    if (end.mayHaveRun) {
      attempts.noteMayHaveRun();
    }
    if (end.hasFailed) {
      this.callbacks.onFailed();
    }
  }

  /** Ids of the backends that must not be used. */
  private get excluded(): ReadonlySet<string> {
    const { alternatives, attempts } = this.moved;
    return alternatives.excludedWith(attempts.backendId);
  }

  /** Releases a slot that was taken and is not used. */
  private release({ id }: Backend): void {
    const { clock, dispatcher } = this.moved.ports;
    dispatcher.finish(id, 'unknown', clock.now());
  }

  /** Whether the request was found to crash the backends that execute it. */
  private get isCrashing(): boolean {
    const { ports, request } = this.moved;
    return ports.crashes.refusalOf(request) !== undefined;
  }
}
