/**
 * Positions in the store's total order of changes.
 *
 * The store assigns increasing revisions to its changes. If it is restored from a backup of an
 * earlier state, it loses changes that it had acknowledged and reuses their revisions. The epoch
 * increases with each restore and distinguishes the two uses of a revision, so positions are
 * compared by epoch and revision, never by revision alone.
 */

/** Position of a change. */
export interface StorePosition {
  /**
   * Epoch reported by the store, which increases with each restore; `NO_EPOCH` if it reports none.
   */
  readonly epoch: number;
  readonly revision: number;
}

/** Epoch of a store that does not report epochs. */
export const NO_EPOCH = 0;

/** Position before the first change. */
export const NO_POSITION: StorePosition = { epoch: NO_EPOCH, revision: 0 };

/** Returns only the position fields of an object. */
export function positionOf({ epoch, revision }: StorePosition): StorePosition {
  return { epoch, revision };
}

/**
 * Returns a negative number if `left` is earlier, 0 if both are equal, and a positive number if
 * `left` is later.
 */
export function comparePositions(left: StorePosition, right: StorePosition): number {
  return left.epoch - right.epoch || left.revision - right.revision;
}

/** Whether `position` comes after `other`. */
export function isLater(position: StorePosition, other: StorePosition): boolean {
  return comparePositions(position, other) > 0;
}

/** Whether both positions are equal. */
export function isSamePosition(left: StorePosition, right: StorePosition): boolean {
  return comparePositions(left, right) === 0;
}

/** Returns the later of two positions. */
export function laterPosition(left: StorePosition, right: StorePosition): StorePosition {
  return positionOf(isLater(right, left) ? right : left);
}

/**
 * Whether two records of one key, read in different epochs, have the same revision. If their values
 * are equal as well, they are the same write, which the backup contained.
 */
export function haveSameRevision(left: StorePosition, right: StorePosition): boolean {
  return left.revision === right.revision;
}

/**
 * Whether `write`, read in a later epoch than `known`, has a lower revision. This happens only if
 * the backup is older than `known`; a new write has a lower revision only until the store has made
 * as many changes as the backup lacked.
 */
export function hasLowerRevision(write: StorePosition, known: StorePosition): boolean {
  return write.revision < known.revision;
}

/** Whether the position is before the first change. */
export function isNoPosition({ revision }: StorePosition): boolean {
  return revision === 0;
}
