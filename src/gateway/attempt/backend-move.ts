/** Moves a request to another backend once a slot is free there; its attempt continues until then. */
import type { Backend } from '../../routing/backend.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AlternativeBackends } from './alternative-backends.js';
import type { DepartureCause } from './attempt-departure.js';
import type { RequestPorts } from './request-model.js';
import type { RequestWait } from './request-wait.js';
import type { RequestWaits } from './request-waits.js';

/** The request that is moved. */
export interface MovingRequest {
  /** Id of the backend of the current attempt. */
  currentBackendId(): string;
  /** Ends the current attempt. */
  abandonAttempt(cause: DepartureCause): void;
  /** Sends the request to `backend`, whose slot was assigned at `placedAtMs`. */
  send(backend: Backend, placedAtMs: number, version: SoftwareVersion): void;
  /** Called when no slot became free in time; the attempt continues. */
  onAbandoned(): void;
}

/** The moves of one request, one at a time. */
export class BackendMove {
  private wait: RequestWait | undefined;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly alternatives: AlternativeBackends,
    private readonly waits: RequestWaits,
    private readonly ports: Pick<RequestPorts, 'clock' | 'crashes' | 'dispatcher'>,
    private readonly moving: MovingRequest,
  ) {}

  /** Whether a slot that suits the request is free elsewhere. */
  get isPossible(): boolean {
    if (this.isCrashing) {
      return false;
    }
    const excluded = this.alternatives.excludedWith(this.moving.currentBackendId());
    const ignore = () => undefined;
    return this.waits.createForMove(excluded, { onPlaced: ignore, onAbandoned: ignore })
      .isPlaceable;
  }

  /** Moves the request once a slot is free elsewhere. */
  begin(cause: DepartureCause): void {
    const leftId = this.moving.currentBackendId();
    this.cancel();
    if (this.isCrashing) {
      return;
    }
    this.wait = this.waits.createForMove(this.alternatives.excludedWith(leftId), {
      onPlaced: (backend, placedAtMs, version) => {
        if (this.isCrashing) {
          this.release(backend);
          return;
        }
        this.leave(leftId, backend, cause);
        this.moving.send(backend, placedAtMs, version);
      },
      onAbandoned: () => this.moving.onAbandoned(),
    });
    this.wait.begin();
  }

  /** Stops waiting for a slot; returns whether a wait was in progress. */
  cancel(): boolean {
    const wasWaiting = this.wait?.isWaiting === true;
    this.wait?.cancel();
    return wasWaiting;
  }

  /** Ends the current attempt, now that a slot of `next` is taken. */
  private leave(leftId: string, next: Backend, cause: DepartureCause): void {
    this.alternatives.recordLeft(leftId);
    try {
      this.moving.abandonAttempt(cause);
    } catch (error) {
      this.release(next);
      throw error;
    }
  }

  /** Releases a slot that was taken and is not used. */
  private release({ id }: Backend): void {
    this.ports.dispatcher.finish(id, 'unknown', this.ports.clock.now());
  }

  /** Whether the request was found to crash the backends that execute it. */
  private get isCrashing(): boolean {
    return this.ports.crashes.refusalOf(this.request) !== undefined;
  }
}
