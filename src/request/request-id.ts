/** Request identifiers: unique across entries and across restarts of one entry. */

/** `entryIncarnation:sequence`, minted by the entry that accepted the request. */
export type RequestId = string;

/** Mints the identifiers of one entry incarnation. */
export class RequestIdSource {
  private sequence = 0;

  constructor(private readonly incarnation: string) {}

  /** Returns the next identifier; never the same one twice. */
  next(): RequestId {
    this.sequence += 1;
    return `${this.incarnation}:${this.sequence}`;
  }
}

/** The incarnation of the entry that minted `id`. */
export function entryIncarnationOf(id: RequestId): string {
  return id.slice(0, id.lastIndexOf(':'));
}
