/**
 * Decides which reports that a backend's process has exited end the requests that it has, and logs
 * them.
 *
 * A closed port alone does not show an exit: a backend that leaves closes its port first, and this
 * gateway may not know yet that it leaves. Another process at another address shows nothing of the
 * one at the former address. Until an exit is certain, the connections of the requests show it.
 */
import type { Clock } from '../clock.js';
import type { Backend } from '../routing/backend.js';
import type { DecisionLog, LogEvent, LogFields } from '../telemetry/decision-log.js';
import type { CrashingRequests } from './crashes/crashing-requests.js';
import type { ExitEvidence } from './crashes/interrupted-runs.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { KnownBackend } from './dispatch/known-backend.js';
import type { GatewayRequests } from './gateway-requests.js';

/** Dependencies of `BackendExits`. */
export interface BackendExitsDependencies {
  readonly directory: Pick<BackendDirectory, 'find'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly log: Pick<DecisionLog, 'write'>;
  /**
   * Age of the view of the store, in milliseconds; undefined before the first confirmation. While a
   * record is applied, it refers to the last view without that record.
   */
  storeAgeMs(): number | undefined;
  /** Each report is evidence about runs whose responses were cut off. */
  readonly crashes: Pick<CrashingRequests, 'recordBackendExit'>;
  /** The requests that a report may end. */
  readonly requests: Pick<GatewayRequests, 'handleBackendEnded'>;
}

/** Maximum time between two reports of a closed port that stayed closed, in milliseconds. */
const MAX_REPORT_GAP_MS = 1_000;
/**
 * Maximum time from the start of a process to its announcement, and to the report of an agent that
 * it runs, in milliseconds.
 */
const NOTICE_MS = 1_000;

/** Consecutive reports that nothing listens at a backend's address. */
interface ClosedPort {
  readonly reportedAtMs: number;
  lastReportAtMs: number;
  hasEndedRequests: boolean;
}

/** What is known about the end of a backend, for its log line. */
interface ExitReport {
  readonly evidence: ExitEvidence;
  /** Time since the first report, in milliseconds. */
  readonly reportedForMs: number;
  /** Time up to which requests that were sent to it run in the process that ended. */
  readonly sentBeforeMs: number;
}

/** Reports that the processes of backends have exited. */
export class BackendExits {
  private readonly closedPorts = new Map<string, ClosedPort>();

  constructor(private readonly dependencies: BackendExitsDependencies) {}

  /**
   * Handles the report of an agent that nothing listens at its engine's address; agents repeat it
   * with each of their messages. It ends requests once a later view of the store shows that the
   * backend does not leave.
   */
  handleClosedPort(backendId: string): void {
    const nowMs = this.dependencies.clock.now();
    this.dependencies.crashes.recordBackendExit(backendId, 'agent');
    const port = this.closedPortOf(backendId, nowMs);
    const reportedForMs = nowMs - port.reportedAtMs;
    const isViewLater = (this.dependencies.storeAgeMs() ?? Infinity) < reportedForMs;
    const isLeaving = this.dependencies.directory.find(backendId)?.mayBeLeaving !== false;
    if (isViewLater && !isLeaving && !port.hasEndedRequests) {
      port.hasEndedRequests = true;
      const sentBeforeMs = port.reportedAtMs;
      this.end(backendId, { evidence: 'agent', reportedForMs, sentBeforeMs });
    }
  }

  /** Handles the first report that a later process than the announced one listens at its address. */
  handleLaterProcess({ backend: { id: backendId }, softwareVersion }: KnownBackend): void {
    const { log } = this.dependencies;
    log.write('backend-unannounced', 'state', { backend: backendId, softwareVersion });
    const sentBeforeMs = this.dependencies.clock.now() - NOTICE_MS;
    this.end(backendId, { evidence: 'replaced', reportedForMs: 0, sentBeforeMs });
  }

  /** Handles the announcement of a later incarnation under the name of a backend. */
  handleSuccessor(backendId: string, successor: Backend): void {
    this.dependencies.crashes.recordBackendExit(backendId, 'replaced');
    const known = this.dependencies.directory.find(backendId);
    if (known !== undefined && known.backend.address !== successor.address) {
      this.logPresumed(backendId, 'replaced');
      return;
    }
    if (known?.hasSeenProcess(successor.bornAtMs) === true) {
      // Its later requests run in the announced process, and the earlier ones have been ended.
      return;
    }
    // The new process had not been announced when the last view was confirmed.
    const unseenForMs = (this.dependencies.storeAgeMs() ?? Infinity) + NOTICE_MS;
    const sentBeforeMs = this.dependencies.clock.now() - unseenForMs;
    this.end(backendId, { evidence: 'replaced', reportedForMs: 0, sentBeforeMs });
  }

  private closedPortOf(backendId: string, nowMs: number): ClosedPort {
    for (const [id, { lastReportAtMs }] of this.closedPorts) {
      if (nowMs - lastReportAtMs > MAX_REPORT_GAP_MS) {
        this.closedPorts.delete(id);
      }
    }
    const known = this.closedPorts.get(backendId);
    if (known !== undefined) {
      known.lastReportAtMs = nowMs;
      return known;
    }
    const port = { reportedAtMs: nowMs, lastReportAtMs: nowMs, hasEndedRequests: false };
    this.closedPorts.set(backendId, port);
    this.logPresumed(backendId, 'agent');
    return port;
  }

  private logPresumed(backendId: string, evidence: ExitEvidence): void {
    this.write('backend-end-presumed', backendId, { evidence });
  }

  private end(backendId: string, { evidence, reportedForMs, sentBeforeMs }: ExitReport): void {
    const sentForMs = this.dependencies.clock.now() - sentBeforeMs;
    this.write('backend-ended', backendId, { evidence, reportedForMs, sentForMs });
    this.dependencies.requests.handleBackendEnded(backendId, evidence, sentBeforeMs);
  }

  private write(event: LogEvent, backendId: string, fields: LogFields): void {
    const { directory, log } = this.dependencies;
    const known = directory.find(backendId);
    log.write(event, 'state', {
      backend: backendId,
      ...fields,
      running: known?.outstanding,
      mayBeLeaving: known?.mayBeLeaving,
      storeAgeMs: this.dependencies.storeAgeMs(),
    });
  }
}
