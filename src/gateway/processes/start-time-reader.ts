/** Reads the start times that engines report, over one kept connection to each. */
import type { EngineProbe } from '../../slot-agent/slot-agent-role.js';

/** Maximum number of engines with a probe of their own; the oldest gives way. */
const MAX_PROBES = 1_024;

/** Reads start times by the probes that agents use. */
export class StartTimeReader {
  private readonly probes = new Map<string, EngineProbe>();

  /** @param createProbe - creates the probe of the engine at an address (IP:PORT) */
  constructor(private readonly createProbe: (address: string) => EngineProbe) {}

  /**
   * Resolves with the start time of the process at `address`, on its machine's clock in Unix
   * milliseconds; undefined if it reports none, or does not respond in time.
   */
  async read(address: string): Promise<number | undefined> {
    const result = await this.probeOf(address)();
    return result.kind === 'load' ? result.bornAtMs : undefined;
  }

  private probeOf(address: string): EngineProbe {
    const known = this.probes.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = this.createProbe(address);
    this.probes.set(address, created);
    if (this.probes.size > MAX_PROBES) {
      const [oldest] = this.probes.keys();
      this.probes.delete(oldest!);
    }
    return created;
  }
}
