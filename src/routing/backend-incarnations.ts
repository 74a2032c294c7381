/**
 * Distinguishes the incarnations of a backend that announce themselves under one name, without I/O.
 *
 * A backend may keep its name when it restarts, but its process is a new one, and statistics
 * collected for the previous process do not apply to it. Each incarnation has its own id, made of
 * the name and the announced start time, so that state indexed by id ends with its incarnation. An
 * incarnation runs one software version from its start to its end.
 */
import type { Backend } from './backend.js';

/** A backend's decoded record, without the id, which `BackendIncarnations` assigns. */
export type Announcement = Omit<Backend, 'id'>;

/** The state of one incarnation after a record changed. */
export interface IncarnationChange {
  readonly id: string;
  /** Undefined for an incarnation that has ended or is no longer announced. */
  readonly backend: Backend | undefined;
}

/** Changes that follow from an announcement. */
export interface IncarnationUpdate {
  /** In the order in which to apply them. */
  readonly changes: readonly IncarnationChange[];
  /** Incarnation that the announcement shows to have ended; missing for none. */
  readonly previousId?: string;
  /** Why the announcement was rejected; missing where it was applied. */
  readonly problem?: string;
}

/** Difference between two machines' clocks beyond which a start time is not credible. */
const MAX_CLOCK_DIFFERENCE_MS = 86_400_000;

/** The latest incarnation of each backend, by record name. */
export class BackendIncarnations {
  private readonly latest = new Map<string, Backend>();

  constructor(private readonly timeOfDayMs: () => number = () => Date.now()) {}

  /**
   * Applies the newest record of a name; `announcement` is undefined once it was removed or is
   * unusable.
   */
  apply(name: string, announcement: Announcement | undefined): IncarnationUpdate {
    const known = this.latest.get(name);
    const withdrawal = { id: known?.id ?? name, backend: undefined };
    if (announcement === undefined) {
      // Keeps the incarnation: if it is announced again, its collected statistics still apply.
      return { changes: [withdrawal] };
    }
    const problem = this.findForeignWriter(announcement, known);
    if (problem !== undefined) {
      return { changes: [withdrawal], problem };
    }
    if (isEarlier(announcement, known)) {
      // A delayed write of the previous incarnation, to which the store gave the newest revision.
      return { changes: [], problem: 'announces an earlier start than the known incarnation' };
    }
    if (isContradictory(announcement, known)) {
      // A process cannot change its software; its streams were begun by the version that is known.
      return { changes: [], problem: 'announces another version for the start that is known' };
    }
    const backend: Backend = { ...announcement, id: idOf(name, announcement, known) };
    this.latest.set(name, backend);
    const isNewIncarnation = known !== undefined && known.id !== backend.id;
    const previous: IncarnationChange[] = isNewIncarnation
      ? [{ id: known.id, backend: undefined }]
      : [];
    // The new incarnation comes first: at the shared address it supersedes the previous one.
    const changes = [{ id: backend.id, backend }, ...previous];
    return isNewIncarnation && showsRestart(backend, known)
      ? { changes, previousId: known.id }
      : { changes };
  }

  /** Returns why the announcement cannot have been written by the backend itself. */
  private findForeignWriter(
    { bornAtMs }: Announcement,
    known: Backend | undefined,
  ): string | undefined {
    if (bornAtMs === undefined) {
      return known?.bornAtMs === undefined
        ? undefined
        : 'announces no start time, unlike the known incarnation';
    }
    return bornAtMs > this.timeOfDayMs() + MAX_CLOCK_DIFFERENCE_MS
      ? 'announces a start time in the future'
      : undefined;
  }
}

/**
 * Whether the announcement shows that the known incarnation has ended. A first start time does not:
 * the known announcement may be another writer's, and its requests run at the announced process.
 */
function showsRestart({ bornAtMs }: Announcement, known: Backend): boolean {
  return bornAtMs === undefined || known.bornAtMs !== undefined;
}

/**
 * Start times come from the backend's own clock, so they order only the incarnations of one
 * backend.
 */
function isEarlier({ bornAtMs }: Announcement, known: Backend | undefined): boolean {
  return bornAtMs !== undefined && known?.bornAtMs !== undefined && bornAtMs < known.bornAtMs;
}

/** Whether the announcement names another version for the known incarnation. */
function isContradictory(announcement: Announcement, known: Backend | undefined): boolean {
  const isSameStart =
    announcement.bornAtMs !== undefined && announcement.bornAtMs === known?.bornAtMs;
  return isSameStart && announcement.version !== known?.version;
}

/**
 * Returns the id of the announced incarnation. Where no start time is announced, only another
 * version shows that the backend has started again.
 */
function idOf(
  name: string,
  { bornAtMs, version }: Announcement,
  known: Backend | undefined,
): string {
  if (bornAtMs !== undefined) {
    return `${name}@${bornAtMs}`;
  }
  if (known === undefined || known.bornAtMs !== undefined) {
    return name;
  }
  return known.version === version ? known.id : `${name}@${version}`;
}
