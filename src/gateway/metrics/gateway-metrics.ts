/** Metrics endpoint of a gateway. */
import { MetricsEndpoint } from '../../telemetry/metrics-endpoint.js';
import type { GatewaySnapshot } from './gateway-snapshot.js';
import type { EndForMetrics, MetricInstruments } from './metric-instruments.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';

/** Records the metrics of a gateway and serves them as text. */
export class GatewayMetrics extends MetricsEndpoint<MetricInstruments> {
  /** Records how a request ended. */
  recordEnd(request: AcceptedRequest, end: EndForMetrics): void {
    this.record((instruments) => instruments.recordEnd(request, end));
  }

  /**
   * Loads the metrics library and replays buffered records; `readSnapshot` is called once per
   * scrape.
   */
  async load(readSnapshot: () => GatewaySnapshot): Promise<void> {
    const loaded = await import('./metric-instruments.js');
    this.setInstruments(new loaded.MetricInstruments(readSnapshot));
  }
}
