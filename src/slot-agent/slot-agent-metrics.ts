/** Counters and gauges of a slot agent, served as text. */
import { MetricsEndpoint } from '../telemetry/metrics-endpoint.js';
import type { SlotAgentInstruments, SlotAgentSnapshot } from './slot-agent-instruments.js';

/** Counters and gauges of a slot agent. */
export class SlotAgentMetrics extends MetricsEndpoint<SlotAgentInstruments> {
  /** Loads the library and records what was kept; `read` is asked for each reading. */
  async load(read: () => SlotAgentSnapshot): Promise<void> {
    const loaded = await import('./slot-agent-instruments.js');
    this.use(new loaded.SlotAgentInstruments(read));
  }
}
