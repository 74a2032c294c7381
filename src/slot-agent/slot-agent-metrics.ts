/** Serves the metrics of a slot agent in the Prometheus text format. */
import { MetricsEndpoint } from '../telemetry/metrics-endpoint.js';
import type { SlotAgentInstruments, SlotAgentSnapshot } from './slot-agent-instruments.js';

/** Metrics endpoint of a slot agent. */
export class SlotAgentMetrics extends MetricsEndpoint<SlotAgentInstruments> {
  /** Loads the metrics library and applies buffered updates; `read` is called at each scrape. */
  async load(read: () => SlotAgentSnapshot): Promise<void> {
    const loaded = await import('./slot-agent-instruments.js');
    this.setInstruments(new loaded.SlotAgentInstruments(read));
  }
}
