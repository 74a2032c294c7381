/** Counters and histograms of a gateway, served as text. */
import { MetricsEndpoint } from '../../telemetry/metrics-endpoint.js';
import type { GatewaySnapshot } from './gateway-snapshot.js';
import type { MetricInstruments } from './metric-instruments.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { RequestEnd } from '../attempt/request-model.js';

/** Counters and histograms of a gateway. */
export class GatewayMetrics extends MetricsEndpoint<MetricInstruments> {
  /** Records how a request ended. */
  recordEnd(request: AcceptedRequest, end: RequestEnd): void {
    this.record((instruments) => instruments.recordEnd(request, end));
  }

  /** Loads the library and records what was kept; `readSnapshot` is asked for each reading. */
  async load(readSnapshot: () => GatewaySnapshot): Promise<void> {
    const loaded = await import('./metric-instruments.js');
    this.use(new loaded.MetricInstruments(readSnapshot));
  }
}
