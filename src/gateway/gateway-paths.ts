/** Connects network path monitoring with a gateway's agent links, backend connections and log. */
import type { Clock } from '../clock.js';
import type { Backend } from '../routing/backend.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { HttpBackendSender } from './attempt/http-backend-sender.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { SuspicionCause } from './dispatch/path-state.js';
import { PathMonitor } from './dispatch/path-monitor.js';
import { afterPendingReads } from './links/pending-reads.js';
import type { SlotAgentLinks } from './links/slot-agent-links.js';

/** Dependencies of `GatewayPaths`. */
export interface GatewayPathsDependencies {
  readonly directory: BackendDirectory;
  readonly sender: Pick<HttpBackendSender, 'endResting'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** The links to agents, which are maintained after each check of the paths. */
  links(): SlotAgentLinks;
}

/** The network paths from this gateway to its backends. */
export class GatewayPaths {
  private readonly monitor: PathMonitor;
  /** All data that had arrived by this time has been read. */
  private readUpToMs = -Infinity;
  private isStopped = false;

  constructor(private readonly dependencies: GatewayPathsDependencies) {
    this.monitor = new PathMonitor(dependencies.directory, {
      onSuspected: ({ backend }, cause, silentMs) => this.handleSuspected(backend, cause, silentMs),
      onRecovered: ({ backend: { id, zone } }, ended) =>
        dependencies.log.write('path-regained', 'state', {
          backend: id,
          backendZone: zone,
          ...ended,
        }),
    });
  }

  /** Number of backends whose network paths from this gateway are suspected to be cut. */
  countSuspected(): number {
    return this.monitor.countSuspect();
  }

  /** Checks the paths for silence and opens or closes links; called on each tick. */
  tick(): void {
    afterPendingReads(this.dependencies.clock, (readUpToMs) => this.checkSilence(readUpToMs));
  }

  /** Opens or closes links immediately after backends were added or removed. */
  syncLinks(): void {
    this.dependencies.links().maintain(this.readUpToMs);
  }

  /** Stops checking the paths. */
  stop(): void {
    this.isStopped = true;
  }

  private checkSilence(readUpToMs: number): void {
    if (this.isStopped) {
      return;
    }
    this.readUpToMs = readUpToMs;
    this.monitor.checkPaths(readUpToMs);
    this.dependencies.links().maintain(readUpToMs);
  }

  private handleSuspected(backend: Backend, cause: SuspicionCause, silentMs: number): void {
    const { id, zone, address } = backend;
    const fields = { backend: id, backendZone: zone, cause, silentMs };
    this.dependencies.log.write('path-suspected', 'state', fields);
    // A request sent on an idle connection now might arrive after its caller has disconnected.
    this.dependencies.sender.endResting(address);
  }
}
