/** Determines whether a request could move to a backend that it has not used yet, without I/O. */
import type { PlacementConstraints } from '../dispatch/dispatch-request.js';
import type { RequestPorts } from './request-model.js';

const NONE: ReadonlySet<string> = new Set();

/** The backends that one request may still move to. */
export class AlternativeBackends {
  private readonly usedIds = new Set<string>();
  /** Used backends that were left although they may go on. */
  private readonly silentIds = new Set<string>();

  constructor(
    private readonly constraints: PlacementConstraints,
    private readonly ports: Pick<RequestPorts, 'directory' | 'dispatcher' | 'clock'>,
  ) {}

  /** Ids of the backends that the request has left. */
  get excluded(): ReadonlySet<string> {
    return this.usedIds;
  }

  /** Records that the request left a backend. */
  exclude(backendId: string): void {
    this.usedIds.add(backendId);
  }

  /** Records that the request left a backend that sent nothing and may be sound. */
  leaveSilent(backendId: string): void {
    this.exclude(backendId);
    this.silentIds.add(backendId);
  }

  /** Whether the request has left a backend that may be sound. */
  get hasLeftSilent(): boolean {
    return this.silentIds.size > 0;
  }

  /** Lets the request return once to each backend that it left as silent. */
  readmitSilent(): void {
    this.silentIds.forEach((id) => this.usedIds.delete(id));
    this.silentIds.clear();
  }

  /** Excludes all backends but those left as silent, so that no further backend is tried. */
  keepOnlySilent(): void {
    for (const { backend } of this.ports.directory.ofService(this.constraints.service)) {
      this.exclude(backend.id);
    }
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

  /** Ids of the backends that the request has left, and `currentId`. */
  excludedWith(currentId: string): ReadonlySet<string> {
    return new Set([...this.usedIds, currentId]);
  }
}
