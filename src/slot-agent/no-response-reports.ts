/**
 * Evaluates gateways' reports that an engine did not respond to a request, without I/O.
 *
 * A gateway without a response cannot distinguish a hung engine from a broken network path. The
 * agent can: while the engine responds to another gateway, the path of the reporting one is at
 * fault. Reports count as a failure of the engine only if they come from several gateways with no
 * response to any of them in between.
 */

/** Thresholds for reports of missing responses. */
export interface NoResponseOptions {
  /**
   * Gateways that must report before the engine counts as failed. Default 2: a single path may be
   * broken.
   */
  readonly minGateways: number;
  /**
   * How long a report counts, in milliseconds. Default 3,000: covers the reports of two gateways
   * that each wait 1,200 for the next event of a stream.
   */
  readonly reportLifetimeMs: number;
}

/** Default thresholds for reports of missing responses. */
export const DEFAULT_NO_RESPONSE_OPTIONS: NoResponseOptions = {
  minGateways: 2,
  reportLifetimeMs: 3_000,
};

/** Gateways that got no response since the engine last responded to any of them. */
export class NoResponseReports {
  private readonly reportedAtMs = new Map<string, number>();

  constructor(private readonly options: NoResponseOptions = DEFAULT_NO_RESPONSE_OPTIONS) {}

  /**
   * Clears the reports, since a response to one gateway shows that earlier reports were due to
   * network paths.
   */
  noteResponse(): void {
    this.reportedAtMs.clear();
  }

  /**
   * Records that a gateway got no response; returns whether this counts as a failure of the engine.
   */
  noteNoResponse(gateway: string, nowMs: number): boolean {
    const { minGateways, reportLifetimeMs } = this.options;
    for (const [name, atMs] of this.reportedAtMs) {
      if (nowMs - atMs > reportLifetimeMs) {
        this.reportedAtMs.delete(name);
      }
    }
    this.reportedAtMs.set(gateway, nowMs);
    return this.reportedAtMs.size >= minGateways;
  }
}
