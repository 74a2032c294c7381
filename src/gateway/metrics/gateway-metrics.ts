/** Metrics endpoint of a gateway. */
import { MetricsEndpoint } from '../../telemetry/metrics-endpoint.js';
import type { GatewaySnapshot } from './gateway-snapshot.js';
import type { EndForMetrics, MeasuredRequest, MetricInstruments } from './metric-instruments.js';

/** Records the metrics of a gateway and serves them as text. */
export class GatewayMetrics extends MetricsEndpoint<MetricInstruments> {
  /** Records how a request ended. */
  recordEnd({ route, service }: MeasuredRequest, end: EndForMetrics): void {
    // The update may be queued for seconds and must not hold the body until then.
    const measured = { route: { name: route.name }, service };
    this.record((instruments) => instruments.recordEnd(measured, end));
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
