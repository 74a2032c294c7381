/** Queries of gateways for the engine's process that wait for the next probe. */

/** A query and the connection on which it arrived. */
export interface PendingProcessQuery {
  readonly connection: number;
  /** Identifies the query at its gateway. */
  readonly id: number;
}

/** Maximum number of queries that wait; gateways ask the engine itself instead of the others. */
const MAX_QUERIES = 1_024;

/**
 * Collects queries until a probe begins. A probe in progress does not answer those that arrive
 * meanwhile: the engine may have restarted since it responded.
 */
export class ProcessQueryQueue {
  private queries: PendingProcessQuery[] = [];

  /** Whether no query waits. */
  get isEmpty(): boolean {
    return this.queries.length === 0;
  }

  /** Adds a query. */
  add(query: PendingProcessQuery): void {
    if (this.queries.length < MAX_QUERIES) {
      this.queries.push(query);
    }
  }

  /** Removes and returns the queries that a probe answers which begins now. */
  take(): readonly PendingProcessQuery[] {
    const taken = this.queries;
    this.queries = [];
    return taken;
  }
}
