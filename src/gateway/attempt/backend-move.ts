/** Moves a request to another backend once a slot is free there; its attempt continues until then. */
import type { Backend } from '../../routing/backend.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { AlternativeBackends } from './alternative-backends.js';
import type { DepartureCause } from './attempt-departure.js';
import type { RequestWait } from './request-wait.js';
import type { RequestWaits } from './request-waits.js';

/** The request that is moved. */
export interface MovingRequest {
  /** Id of the backend of the current attempt. */
  currentBackendId(): string;
  /** Ends the current attempt and sends the request to `backend`. */
  moveTo(
    backend: Backend,
    placedAtMs: number,
    version: SoftwareVersion,
    cause: DepartureCause,
  ): void;
  /** Called when no slot became free in time; the attempt continues. */
  onAbandoned(): void;
}

/** The moves of one request, one at a time. */
export class BackendMove {
  private wait: RequestWait | undefined;

  constructor(
    private readonly alternatives: AlternativeBackends,
    private readonly waits: RequestWaits,
    private readonly moving: MovingRequest,
  ) {}

  /** Whether a slot that suits the request is free elsewhere. */
  get isPossible(): boolean {
    const excluded = this.alternatives.excludedWith(this.moving.currentBackendId());
    const ignore = () => undefined;
    return this.waits.create(excluded, { onPlaced: ignore, onAbandoned: ignore }).isPlaceable;
  }

  /** Moves the request once a slot is free elsewhere. */
  begin(cause: DepartureCause): void {
    const leftId = this.moving.currentBackendId();
    this.cancel();
    this.wait = this.waits.create(this.alternatives.excludedWith(leftId), {
      onPlaced: (backend, placedAtMs, version) => {
        this.alternatives.leaveSilent(leftId);
        this.moving.moveTo(backend, placedAtMs, version, cause);
      },
      onAbandoned: () => this.moving.onAbandoned(),
    });
    this.wait.begin();
  }

  /** Stops waiting for a slot. */
  cancel(): void {
    this.wait?.cancel();
  }
}
