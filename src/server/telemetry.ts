/** Logging with bunyan and metrics with hot-shots; counters also appear in the status document. */
import bunyan from 'bunyan';
import { StatsD } from 'hot-shots';
import type { Decision, Measurement } from '../decision.js';
import type { Settings } from './settings-schema.js';

/** Logger and metrics of one process. */
export class Telemetry {
  /** Logger for state changes; secrets and request bodies must not be logged. */
  readonly log: bunyan;
  /** Counter totals since the process started, by metric name. */
  readonly counters = new Map<string, number>();
  private readonly statsd: StatsD;
  private readonly shouldLogDecisions: boolean;

  constructor(settings: Settings) {
    const { name, role, zone, place } = settings.process;
    this.log = bunyan.createLogger({
      name: 'weirvaled',
      level: settings.log.level,
      process_name: name,
      role,
      zone,
      place,
    });
    this.shouldLogDecisions = settings.log.decisions === 'on';
    this.statsd = new StatsD({
      host: settings.metrics.statsdHost || '127.0.0.1',
      port: settings.metrics.statsdPort,
      prefix: settings.metrics.prefix,
      globalTags: { role, zone, place },
      mock: settings.metrics.statsdHost === '',
      errorHandler: () => this.addToCounter('metrics.send_failed', 1),
    });
  }

  /** Records a counter increment or a duration. */
  recordMeasurement(measurement: Measurement): void {
    const { metric, value, tags } = measurement;
    if (measurement.type === 'timing') {
      this.statsd.timing(metric, value, { ...tags });
      return;
    }
    this.addToCounter(metric, value);
    this.statsd.increment(metric, value, { ...tags });
  }

  /** Logs a decision as one line, unless the settings disable it. */
  logDecision(decision: Decision): void {
    if (this.shouldLogDecisions) {
      this.log.info({ decision }, 'decision');
    }
  }

  /** Sends the buffered metrics and closes the metrics client. */
  close(): void {
    this.statsd.close(() => undefined);
  }

  private addToCounter(metric: string, value: number): void {
    this.counters.set(metric, (this.counters.get(metric) ?? 0) + value);
  }
}
