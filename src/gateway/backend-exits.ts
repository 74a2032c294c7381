/**
 * Decides which reports that a backend's process has exited end the requests that it has, and logs
 * them.
 *
 * A process at another address shows nothing of the one at the former address: until its exit is
 * certain, the connections of the requests show it.
 */
import type { Backend } from '../routing/backend.js';
import type { DecisionLog, LogEvent, LogFields } from '../telemetry/decision-log.js';
import type { CrashingRequests } from './crashes/crashing-requests.js';
import type { ExitEvidence } from './crashes/interrupted-runs.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { GatewayRequests } from './gateway-requests.js';

/** Dependencies of `BackendExits`. */
export interface BackendExitsDependencies {
  readonly directory: Pick<BackendDirectory, 'find'>;
  readonly log: Pick<DecisionLog, 'write'>;
  /** Age of the view of the store, in milliseconds; undefined before the first confirmation. */
  storeAgeMs(): number | undefined;
  /** Each report is evidence about runs whose responses were cut off. */
  readonly crashes: Pick<CrashingRequests, 'recordBackendExit'>;
  /** The requests that a report may end. */
  readonly requests: Pick<GatewayRequests, 'handleBackendEnded'>;
}

/** Reports that the processes of backends have exited. */
export class BackendExits {
  constructor(private readonly dependencies: BackendExitsDependencies) {}

  /** Handles the report of an agent that nothing listens at its engine's address. */
  handleClosedPort(backendId: string): void {
    this.dependencies.crashes.recordBackendExit(backendId, 'agent');
    this.dependencies.requests.handleBackendEnded(backendId, 'agent');
  }

  /** Handles the announcement of a later incarnation under the name of a backend. */
  handleSuccessor(backendId: string, successor: Backend): void {
    this.dependencies.crashes.recordBackendExit(backendId, 'replaced');
    const known = this.dependencies.directory.find(backendId);
    if (known !== undefined && known.backend.address !== successor.address) {
      this.logPresumed(backendId, 'replaced');
      return;
    }
    this.write('backend-ended', backendId, { evidence: 'replaced' });
    this.dependencies.requests.handleBackendEnded(backendId, 'replaced');
  }

  private logPresumed(backendId: string, evidence: ExitEvidence): void {
    this.write('backend-end-presumed', backendId, { evidence });
  }

  private write(event: LogEvent, backendId: string, fields: LogFields): void {
    const { directory, log } = this.dependencies;
    const known = directory.find(backendId);
    log.write(event, 'state', {
      backend: backendId,
      ...fields,
      running: known?.outstanding,
      isDraining: known?.isDraining,
      storeAgeMs: this.dependencies.storeAgeMs(),
    });
  }
}
