/**
 * Tells the lives of a back end apart that announce themselves under one name, without I/O.
 *
 * A back end that starts again may keep its name; its process is another one, and what was learned of the one
 * before says nothing of it. Each life has an id of its own, made of the name and the start that the announcement
 * tells, so that whatever is kept by id ends with the life that it is about.
 */
import type { Backend } from './backend.js';

/** An announcement as its record was read: without the id, which only the lives know. */
export type Announcement = Omit<Backend, 'id'>;

/** What a record says of the life under its name. */
export interface LifeChange {
  readonly id: string;
  /** Undefined for a life that is over, or no longer announced. */
  readonly backend: Backend | undefined;
}

/** What an announcement changed. */
export interface LivesNews {
  /** In the order in which they are to be taken in. */
  readonly changes: readonly LifeChange[];
  /** The life that the announcement shows to be over; missing for none. */
  readonly formerId?: string;
  /** Why the announcement was passed over; missing where it was not. */
  readonly problem?: string;
}

/** The lives of back ends, by the names of their records. */
export class BackendLives {
  private readonly latest = new Map<string, Backend>();

  /** Takes in the newest record of a name; `announcement` is undefined once it is removed or cannot be used. */
  take(name: string, announcement: Announcement | undefined): LivesNews {
    const known = this.latest.get(name);
    if (announcement === undefined) {
      // The life is remembered: what it was known by counts again if it is only announced anew.
      const id = known?.id ?? name;
      return { changes: [{ id, backend: undefined }] };
    }
    if (isEarlier(announcement, known)) {
      // A write of the former life that was held up; the store numbers it as the newest.
      return { changes: [], problem: 'it is of an earlier start than the one that is known' };
    }
    const backend: Backend = { ...announcement, id: idOf(name, announcement) };
    this.latest.set(name, backend);
    const isNewLife = known !== undefined && known.id !== backend.id;
    const former: LifeChange[] = isNewLife ? [{ id: known.id, backend: undefined }] : [];
    // The new life comes first: at its address it shows that the former one has ended.
    const changes = [{ id: backend.id, backend }, ...former];
    return isNewLife ? { changes, formerId: known.id } : { changes };
  }
}

/** Starts of one back end are told by one clock, its own: they order its lives, and nothing else. */
function isEarlier({ bornAtMs }: Announcement, known: Backend | undefined): boolean {
  return bornAtMs !== undefined && known?.bornAtMs !== undefined && bornAtMs < known.bornAtMs;
}

function idOf(name: string, { bornAtMs }: Announcement): string {
  return bornAtMs === undefined ? name : `${name}@${bornAtMs}`;
}
