/** Log lines by bunyan and metrics by hot-shots; counters are also kept for the status page. */
import bunyan from 'bunyan';
import { StatsD } from 'hot-shots';
import type { Decision, Measurement } from '../decision.js';
import type { Settings } from './settings-schema.js';

/** Log and metrics of one process. */
export class Telemetry {
  /** For changes of state; secrets and bodies of requests are never logged. */
  readonly log: bunyan;
  /** Counters since the start, by metric name. */
  readonly counters = new Map<string, number>();
  private readonly statsd: StatsD;
  private readonly logsDecisions: boolean;

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
    this.logsDecisions = settings.log.decisions === 'on';
    this.statsd = new StatsD({
      host: settings.metrics.statsdHost || '127.0.0.1',
      port: settings.metrics.statsdPort,
      prefix: settings.metrics.prefix,
      globalTags: { role, zone, place },
      mock: settings.metrics.statsdHost === '',
      errorHandler: () => this.add('metrics.send_failed', 1),
    });
  }

  /** Counts or times one measurement. */
  measure(measurement: Measurement): void {
    const { metric, value, tags } = measurement;
    if (measurement.type === 'timing') {
      this.statsd.timing(metric, value, { ...tags });
      return;
    }
    this.add(metric, value);
    this.statsd.increment(metric, value, { ...tags });
  }

  /** Logs a decision, one line. */
  decide(decision: Decision): void {
    if (this.logsDecisions) {
      this.log.info({ decision }, 'decision');
    }
  }

  /** Sends what is buffered and closes. */
  close(): void {
    this.statsd.close(() => undefined);
  }

  private add(metric: string, value: number): void {
    this.counters.set(metric, (this.counters.get(metric) ?? 0) + value);
  }
}
