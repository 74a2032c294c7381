/**
 * Structured log of one process: one line for each decision that touches a
 * request or changes what the process believes. docs/LOGS.md lists the lines.
 */
import bunyan from 'bunyan';
import type { Clock } from '../clock.js';
import { BoundedOutput } from './bounded-output.js';
import { LineBudget } from './line-budget.js';
import type { LinePriority } from './line-budget.js';

/** Names every line; docs/LOGS.md explains each. */
export const LOG_EVENTS = [
  'started',
  'stopping',
  'stopped',
  'settings-reloaded',
  'settings-refused',
  'configuration-installed',
  'configuration-refused',
  'record-refused',
  'backend-learned',
  'backend-gone',
  'backend-ejected',
  'backend-availability',
  'backend-condition',
  'backend-asks-rest',
  'zone-unknown',
  'region-reach',
  'zone-evacuation',
  'zone-cleared',
  'cold-limit-entered',
  'cold-limit-left',
  'path-suspected',
  'path-regained',
  'store-lost',
  'store-regained',
  'store-changes-missing',
  'store-epoch',
  'store-epoch-settled',
  'store-answer-dropped',
  'store-read-older',
  'records-passed-over',
  'knowledge-old',
  'knowledge-confirmed',
  'store-reader-on',
  'store-reader-off',
  'peer-heard',
  'peer-gone',
  'agent-connected',
  'agent-lost',
  'gateway-connected',
  'gateway-lost',
  'gateway-refused',
  'slots-reconciled',
  'slot-taken-forbidden',
  'engine-availability',
  'rollout-ordered',
  'rollout-order-removed',
  'rollout-state',
  'rollout-written',
  'rollout-not-written',
  'backend-crashed',
  'crashing-request',
  'crash-record',
  'crash-record-written',
  'crash-record-not-written',
  'quota-members',
  'quota-members-written',
  'quota-members-not-written',
  'quota-rights-held',
  'quota-rights-lapsed',
  'quota-pool-dry',
  'quota-pool-refilled',
  'request-refused',
  'request-ended',
  'lines-dropped',
] as const;

/** The name of a line. */
export type LogEvent = (typeof LOG_EVENTS)[number];

/** Values of a line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Who writes. */
export interface LogIdentity {
  readonly role: string;
  readonly process: string;
  readonly zone: string;
}

/** Structured log of one process. */
export class DecisionLog {
  private readonly logger: bunyan;
  private readonly budget: LineBudget;
  private readonly output: BoundedOutput;

  constructor(
    identity: LogIdentity,
    linesPerS: number,
    private readonly clock: Clock,
  ) {
    this.budget = new LineBudget({ linesPerS });
    this.output = new BoundedOutput(() => this.budget.countLost());
    this.logger = bunyan.createLogger({
      name: 'weirvaled',
      ...identity,
      streams: [{ type: 'stream', level: 'info', stream: this.output as never }],
    });
  }

  /** Writes a line, if the budget allows it. */
  write(event: LogEvent, priority: LinePriority, fields: LogFields = {}): void {
    if (this.budget.take(priority, this.clock.now())) {
      this.logger.info({ event, ...roundNumbers(fields) }, event);
    }
  }

  /** Says, and returns, how many lines were dropped since it last did; to be called now and then. */
  reportDropped(): number {
    const dropped = this.budget.takeDropped();
    if (dropped > 0) {
      this.logger.info({ event: 'lines-dropped', dropped }, 'lines-dropped');
    }
    return dropped;
  }

  /** Begins to write what waits. */
  flush(): void {
    this.output.flush();
  }
}

/** Times are told to a tenth of a millisecond. */
function roundNumbers(fields: LogFields): Record<string, unknown> {
  const TENTHS = 10;
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      typeof value === 'number' ? Math.round(value * TENTHS) / TENTHS : value,
    ]),
  );
}
