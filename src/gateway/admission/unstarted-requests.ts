/**
 * Requests that were read and are not offered to backends yet: they wait for a confirmed
 * configuration, the origin of their stream or a quota charge.
 */

/** Tracks the waits before requests are offered to backends. */
export class UnstartedRequests {
  private readonly waiting = new Set<() => void>();

  /** Number of waiting requests. */
  get count(): number {
    return this.waiting.size;
  }

  /**
   * Adds a wait. The returned function ends it and returns whether it had not ended before.
   *
   * @param refuse - refuses the request; called at most once, and not after the end of the wait
   */
  add(refuse: () => void): () => boolean {
    this.waiting.add(refuse);
    return () => this.waiting.delete(refuse);
  }

  /** Refuses all waiting requests. */
  refuseAll(): void {
    for (const refuse of [...this.waiting]) {
      if (this.waiting.delete(refuse)) {
        refuse();
      }
    }
  }
}
