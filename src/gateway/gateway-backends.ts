/** Processes backend announcements: tracks incarnations, rejects unusable records and logs both. */
import type { Clock } from '../clock.js';
import type { StorePosition } from '../cluster/store-position.js';
import { BackendIncarnations } from '../routing/backend-incarnations.js';
import type { Backend } from '../routing/backend.js';
import type { DecodedBackend } from '../routing/decoded-record.js';
import type { UnknownZones } from '../routing/unknown-zones.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { Dispatcher } from './dispatch/dispatcher.js';
import type { RefusedRecords } from './refused-records.js';

/** Dependencies of `GatewayBackends`. */
export interface GatewayBackendsDependencies {
  readonly dispatcher: Pick<Dispatcher, 'updateBackend'>;
  readonly unknownZones: UnknownZones;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly refused: RefusedRecords;
  /** Called when a later incarnation is announced under the name of the incarnation `backendId`. */
  onIncarnationEnded(backendId: string, successor: Backend): void;
}

/** The backends that are announced in the store. */
export class GatewayBackends {
  private readonly incarnations = new BackendIncarnations();

  constructor(private readonly dependencies: GatewayBackendsDependencies) {}

  /** Applies the record stored under a backend's name. */
  applyRecord(
    { name, announcement, problem: unreadable }: DecodedBackend,
    position: StorePosition,
  ): void {
    const { changes, previousId, problem: rejected } = this.incarnations.apply(name, announcement);
    const problem = unreadable ?? rejected;
    this.reportProblem(name, problem, position);
    for (const { id, backend } of changes) {
      this.logChange(id, backend, position);
      const isWithdrawn = problem !== undefined;
      this.dependencies.dispatcher.updateBackend(
        id,
        backend,
        this.dependencies.clock.now(),
        isWithdrawn,
      );
    }
    const successor = changes[0]?.backend;
    if (previousId !== undefined && successor !== undefined) {
      this.dependencies.onIncarnationEnded(previousId, successor);
    }
  }

  private reportProblem(name: string, problem: string | undefined, position: StorePosition): void {
    const { refused } = this.dependencies;
    if (problem === undefined) {
      refused.clear(name);
    } else {
      refused.report(name, problem, position, { backend: name });
    }
  }

  private logChange(
    id: string,
    backend: Backend | undefined,
    { epoch, revision }: StorePosition,
  ): void {
    const { log, unknownZones } = this.dependencies;
    log.write(backend === undefined ? 'backend-gone' : 'backend-learned', 'state', {
      backend: id,
      state: backend?.state,
      service: backend?.service,
      version: backend?.version,
      address: backend?.address,
      epoch,
      revision,
    });
    if (backend !== undefined && unknownZones.recordIfUnknown(backend.zone)) {
      log.write('zone-unknown', 'state', { backendZone: backend.zone, backend: id });
    }
  }
}
