/** Logs records of the store that are not used. */
import type { StorePosition } from '../cluster/store-position.js';
import type { DecisionLog, LogFields } from '../telemetry/decision-log.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** Dependencies of `RefusedRecords`. */
export interface RefusedRecordsDependencies {
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** Records whose last problem is remembered; the oldest gives way. */
const MAX_REMEMBERED = 1_000;

/**
 * Logs each problem of a record once, since an invalid record may be written again with each
 * heartbeat, and counts it each time.
 */
export class RefusedRecords {
  /** Last logged problem by record. */
  private readonly problems = new Map<string, string>();

  constructor(private readonly dependencies: RefusedRecordsDependencies) {}

  /** Forgets the problem of a record that is valid or was removed. */
  clear(record: string): void {
    this.problems.delete(record);
  }

  /** Reports that the record at `position` is not used; `fields` are added to the log line. */
  report(
    record: string,
    problem: string,
    { epoch, revision }: StorePosition,
    fields: LogFields = {},
  ): void {
    const { log, metrics } = this.dependencies;
    metrics.record(({ recordsRefused }) => recordsRefused.inc());
    if (this.problems.get(record) === problem) {
      return;
    }
    this.problems.delete(record);
    this.problems.set(record, problem);
    if (this.problems.size > MAX_REMEMBERED) {
      const [oldest] = this.problems.keys();
      this.problems.delete(oldest!);
    }
    log.write('record-refused', 'state', { ...fields, problem, epoch, revision });
  }
}
