/**
 * Where something stands in the store's order of changes.
 *
 * The store numbers its changes with one rising revision. It may come back from a copy of an earlier state: then changes
 * that it had acknowledged are gone, and their revisions are given out again. An epoch that rises with each such return
 * tells the two uses of a revision apart, so that positions are compared by both and never by the revision alone.
 */

/** A change of the store. */
export interface StorePosition {
  /** How often the store came back from a copy, by its own count; `NO_EPOCH` where it keeps none. */
  readonly epoch: number;
  readonly revision: number;
}

/** The epoch of a store that does not count its returns. */
export const NO_EPOCH = 0;

/** Before every change. */
export const NO_POSITION: StorePosition = { epoch: NO_EPOCH, revision: 0 };

/** The position alone of something that has one. */
export function positionOf({ epoch, revision }: StorePosition): StorePosition {
  return { epoch, revision };
}

/** Negative where `left` is the earlier one, 0 where they are the same, positive otherwise. */
export function comparePositions(left: StorePosition, right: StorePosition): number {
  return left.epoch - right.epoch || left.revision - right.revision;
}

/** Whether `position` comes after `other`. */
export function isLater(position: StorePosition, other: StorePosition): boolean {
  return comparePositions(position, other) > 0;
}

/** Whether both are the same. */
export function isSamePosition(left: StorePosition, right: StorePosition): boolean {
  return comparePositions(left, right) === 0;
}

/** The later one of two. */
export function laterOf(left: StorePosition, right: StorePosition): StorePosition {
  return positionOf(isLater(right, left) ? right : left);
}

/**
 * Whether two writes of one key, which the store shows in two epochs, have the same revision: with the same value they are
 * one write, which the copy held.
 */
export function haveSameRevision(left: StorePosition, right: StorePosition): boolean {
  return left.revision === right.revision;
}

/**
 * Whether the revision of a write that the store shows in a later epoch has fallen behind that of `known`: only a copy
 * from before `known` makes it fall, and a new write only until as many changes were made as the copy lacked.
 */
export function hasFallenBehind(write: StorePosition, known: StorePosition): boolean {
  return write.revision < known.revision;
}

/** Whether nothing is known: no change has this position. */
export function isNoPosition({ revision }: StorePosition): boolean {
  return revision === 0;
}
