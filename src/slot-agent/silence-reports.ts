/**
 * What gateways' words of silence say of an engine, without I/O.
 *
 * A gateway that hears nothing of a request cannot tell an engine that hangs from a path that is cut.
 * The agent can: while any gateway is answered, the engine answers and it is the path of the other that
 * fails. Only silence that several gateways meet, with no answer to anyone between, speaks against the engine.
 */

/** Bounds of what silence says. */
export interface SilenceReportOptions {
  /** Gateways that must meet silence before it speaks against the engine. Default 2: one path may be cut. */
  readonly minGateways: number;
  /**
   * How long a report counts, in milliseconds. Default 3,000: two gateways that each wait 1,200 for a
   * silent stream are both heard in it.
   */
  readonly memoryMs: number;
}

/** Defaults of what silence says. */
export const DEFAULT_SILENCE_REPORT_OPTIONS: SilenceReportOptions = {
  minGateways: 2,
  memoryMs: 3_000,
};

/** Silence that gateways met since the engine answered last. */
export class SilenceReports {
  private readonly reportedAtMs = new Map<string, number>();

  constructor(private readonly options: SilenceReportOptions = DEFAULT_SILENCE_REPORT_OPTIONS) {}

  /** A gateway was answered: whoever heard nothing before has a path that fails. */
  noteAnswer(): void {
    this.reportedAtMs.clear();
  }

  /** A gateway heard nothing; says whether that speaks against the engine. */
  noteSilence(gateway: string, nowMs: number): boolean {
    const { minGateways, memoryMs } = this.options;
    for (const [name, atMs] of this.reportedAtMs) {
      if (nowMs - atMs > memoryMs) {
        this.reportedAtMs.delete(name);
      }
    }
    this.reportedAtMs.set(gateway, nowMs);
    return this.reportedAtMs.size >= minGateways;
  }
}
