/**
 * Structured log of one process: one line for each decision that affects a request or changes the
 * process's view of the system. docs/LOGS.md lists the events.
 */
import bunyan from 'bunyan';
import type { Clock } from '../clock.js';
import { BoundedOutput } from './bounded-output.js';
import { LineRateLimiter } from './line-rate-limiter.js';
import type { LinePriority } from './line-rate-limiter.js';

/** Event names of all log lines; docs/LOGS.md describes each. */
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
  'backend-end-presumed',
  'backend-ended',
  'backend-ejected',
  'backend-availability',
  'backend-condition',
  'backend-asks-rest',
  'backend-surplus',
  'backend-unannounced',
  'process-unidentified',
  'zone-unknown',
  'accept-backlog',
  'caller-connection-closed',
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
  'agent-unreachable',
  'gateway-connected',
  'gateway-lost',
  'gateway-refused',
  'slots-reconciled',
  'slot-taken-forbidden',
  'engine-availability',
  'engine-process',
  'rollout-ordered',
  'rollout-order-removed',
  'rollout-state',
  'rollout-written',
  'rollout-not-written',
  'backend-crashed',
  'crashing-request',
  'stream-resumed',
  'stream-origins-moved',
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
  'response-unfinished',
  'request-fault',
  'process-failed',
  'lines-dropped',
] as const;

/** Event name of a log line. */
export type LogEvent = (typeof LOG_EVENTS)[number];

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Identifies the process that writes the log; part of every line. */
export interface LogIdentity {
  readonly role: string;
  readonly process: string;
  readonly zone: string;
}

/** Writes log lines as JSON, within a rate limit, without blocking. */
export class DecisionLog {
  private readonly logger: bunyan;
  private readonly rateLimiter: LineRateLimiter;
  private readonly output: BoundedOutput;

  constructor(
    identity: LogIdentity,
    linesPerS: number,
    private readonly clock: Clock,
  ) {
    this.rateLimiter = new LineRateLimiter({ linesPerS });
    this.output = new BoundedOutput(() => this.rateLimiter.countDropped());
    this.logger = bunyan.createLogger({
      name: 'weirvaled',
      ...identity,
      streams: [{ type: 'stream', level: 'info', stream: this.output as never }],
    });
  }

  /** Writes a line if the rate limit allows it. */
  write(event: LogEvent, priority: LinePriority, fields: LogFields = {}): void {
    if (this.rateLimiter.tryAcquire(priority, this.clock.now())) {
      this.logger.info({ event, ...roundNumbers(fields) }, event);
    }
  }

  /** Logs and returns the number of lines dropped since the last call; called periodically. */
  logDroppedLines(): number {
    const dropped = this.rateLimiter.drainDropped();
    if (dropped > 0) {
      this.logger.info({ event: 'lines-dropped', dropped }, 'lines-dropped');
    }
    return dropped;
  }

  /** Starts writing the buffered lines. */
  flush(): void {
    this.output.flush();
  }

  /** Writes a last line, whatever the rate limit, before the process ends. */
  writeLast(event: LogEvent, fields: LogFields): void {
    this.logger.error({ event, ...fields }, event);
    this.output.flushNow();
  }
}

/** Rounds numbers to one decimal: times to a tenth of a millisecond. */
function roundNumbers(fields: LogFields): Record<string, unknown> {
  const TENTHS = 10;
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      typeof value === 'number' ? Math.round(value * TENTHS) / TENTHS : value,
    ]),
  );
}
