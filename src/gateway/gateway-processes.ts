/** Identifies the processes of engines for the gateway, and reports what was found out. */
import type { Clock } from '../clock.js';
import type { ProcessAnswer } from '../processes/process-query.js';
import type { Backend } from '../routing/backend.js';
import type { EngineProbe } from '../slot-agent/slot-agent-role.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';
import { ProcessIdentifier } from './processes/process-identifier.js';
import type { IdentifiedProcess } from './processes/process-identifier.js';
import { StartTimeReader } from './processes/start-time-reader.js';

/** Dependencies of `GatewayProcesses`. */
export interface GatewayProcessesDependencies {
  /** Creates the probe of the engine at an address (IP:PORT). */
  readonly createEngineProbe: (address: string) => EngineProbe;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** See `ProcessIdentifierPorts`. */
  askAgent(backendId: string, onAnswer: (answer: ProcessAnswer) => void): boolean;
}

/** The processes of engines. */
export class GatewayProcesses {
  private readonly identifier: ProcessIdentifier;

  constructor(private readonly dependencies: GatewayProcessesDependencies) {
    const startTimes = new StartTimeReader(dependencies.createEngineProbe);
    this.identifier = new ProcessIdentifier({
      askAgent: (backendId, onAnswer) => dependencies.askAgent(backendId, onAnswer),
      readStartTime: (address) => startTimes.read(address),
      onResult: (backend, process, elapsedMs) => this.report(backend, process, elapsedMs),
      clock: dependencies.clock,
    });
  }

  /** See `ProcessIdentifier`. */
  identify(backend: Backend): Promise<IdentifiedProcess | undefined> {
    return this.identifier.identify(backend);
  }

  private report({ id }: Backend, process: IdentifiedProcess | undefined, elapsedMs: number): void {
    const { log, metrics } = this.dependencies;
    const source = process?.source ?? 'none';
    metrics.record(({ processIdentifications }) => processIdentifications.inc({ source }));
    if (process === undefined) {
      log.write('process-unidentified', 'state', { backend: id, elapsedMs });
    }
  }
}
