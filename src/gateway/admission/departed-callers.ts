/** Reports requests whose callers disconnected before they were offered to backends. */
import type { Clock } from '../../clock.js';
import type { DecisionLog } from '../../telemetry/decision-log.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { GatewayMetrics } from '../metrics/gateway-metrics.js';
import type { CallerRequestHead } from './caller-protocol.js';

/** Where departures are reported. */
export interface DepartedCallersPorts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

const REASON = 'caller-left';
/** Status of a request that got no response. */
const NO_STATUS = 0;

/** Logs and counts requests whose callers left early. */
export class DepartedCallers {
  constructor(private readonly ports: DepartedCallersPorts) {}

  /** Reports a request that was neither admitted nor refused. */
  reportUnadmitted({ requestId: request }: CallerRequestHead, arrivedAtMs: number): void {
    const totalMs = this.ports.clock.now() - arrivedAtMs;
    this.report('', { request, totalMs });
  }

  /** Reports an admitted request that waited for its charge or the origin of its stream. */
  reportAdmitted({ requestId, route, tenant, arrivedAtMs }: AcceptedRequest): void {
    const totalMs = this.ports.clock.now() - arrivedAtMs;
    this.report(route.name, { request: requestId, route: route.name, tenant, totalMs });
  }

  private report(route: string, fields: Readonly<Record<string, unknown>>): void {
    const { log, metrics } = this.ports;
    const labels = { route, status: `${NO_STATUS}`, reason: REASON };
    metrics.record(({ requests }) => requests.inc(labels));
    log.write('request-ended', 'failure', {
      ...fields,
      status: NO_STATUS,
      reason: REASON,
      tries: [],
    });
  }
}
