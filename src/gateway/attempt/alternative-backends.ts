/** Determines whether a request could move to a backend that it has not used yet, without I/O. */
import type { BackendExclusion, PlacementConstraints } from '../dispatch/dispatch-request.js';
import type { RequestPorts } from './request-model.js';

const NONE: ReadonlySet<string> = new Set();

/** The backends that one request may still move to. */
export class AlternativeBackends {
  private readonly usedIds = new Set<string>();
  /** Used backends that were left although they may go on. */
  private readonly resumableIds = new Set<string>();
  /** Backends to which the request may return. */
  private readonly readmittedIds = new Set<string>();
  /** The only backends that are left; undefined if any that was not used is. */
  private allowedIds: ReadonlySet<string> | undefined;

  constructor(
    private readonly constraints: PlacementConstraints,
    private readonly ports: Pick<RequestPorts, 'directory' | 'dispatcher' | 'clock'>,
  ) {}

  /** The backends that must not be used. */
  get excluded(): BackendExclusion {
    const { allowedIds } = this;
    return allowedIds === undefined ? this.usedIds : new AllExcept(allowedIds);
  }

  /** Records that the request must not return to a backend. */
  exclude(backendId: string): void {
    this.usedIds.add(backendId);
    this.readmittedIds.delete(backendId);
  }

  /** Records that the request left a backend that may be sound, and may return to it. */
  recordLeft(backendId: string): void {
    this.exclude(backendId);
    this.resumableIds.add(backendId);
  }

  /** Whether the request has left a backend to which it may return. */
  get canReturn(): boolean {
    return this.resumableIds.size > 0;
  }

  /** Lets the request return once to each backend that it left as sound. */
  readmitLeft(): void {
    this.resumableIds.forEach((id) => this.readmittedIds.add(id));
    this.resumableIds.forEach((id) => this.usedIds.delete(id));
    this.resumableIds.clear();
  }

  /** Lets the request only return to backends that it left as sound. */
  returnOnly(): void {
    this.readmitLeft();
    this.allowedIds = this.readmittedIds;
  }

  /**
   * Whether the backend is no longer permitted. A version that a rollout has closed, for example
   * because its share of the requests is used up, keeps the requests already assigned to it.
   */
  isForbidden(backendId: string): boolean {
    const { directory, dispatcher } = this.ports;
    const known = directory.find(backendId);
    const reason = known && dispatcher.restriction(this.constraints, known);
    return reason !== undefined && reason !== 'version-closed';
  }

  /** Whether any backend is ready and permitted, used or not. */
  get hasAnyReady(): boolean {
    return this.ports.dispatcher.hasReady(this.constraints, NONE);
  }

  /** Whether one other than `currentId` is ready and not in backoff. */
  isAvailable(currentId: string): boolean {
    const excluded = this.excludedWith(currentId);
    return this.ports.dispatcher.hasAvailable(this.constraints, excluded, this.ports.clock.now());
  }

  /** Whether one other than `currentId` is also open and on a path that is not suspected. */
  isReachable(currentId: string): boolean {
    const excluded = this.excludedWith(currentId);
    return this.ports.dispatcher.hasReachable(this.constraints, excluded, this.ports.clock.now());
  }

  /** Whether one other than `currentId` has a free slot. */
  hasFreeSlot(currentId: string): boolean {
    const excluded = this.excludedWith(currentId);
    return this.ports.dispatcher.hasCapacity(this.constraints, excluded, this.ports.clock.now());
  }

  /** Ids of the backends that must not be used, and `currentId`. */
  excludedWith(currentId: string): ReadonlySet<string> {
    return new Set([...this.usedIds, currentId]);
  }
}

/** Excludes every backend but some. */
class AllExcept implements BackendExclusion {
  readonly size = Infinity;

  constructor(private readonly allowedIds: ReadonlySet<string>) {}

  has(backendId: string): boolean {
    return !this.allowedIds.has(backendId);
  }
}
