/** Takes the announcements of back ends in: tells their lives apart, leaves out what is none, and logs both. */
import type { Clock } from '../clock.js';
import type { StorePosition } from '../cluster/store-position.js';
import { BackendLives } from '../routing/backend-lives.js';
import type { Backend } from '../routing/backend.js';
import type { DecodedBackend } from '../routing/decoded-record.js';
import type { UnknownZones } from '../routing/unknown-zones.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { Dispatcher } from './dispatch/dispatcher.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** What the announcements are taken in with. */
export interface GatewayBackendsParts {
  readonly dispatcher: Pick<Dispatcher, 'updateBackend'>;
  readonly unknownZones: UnknownZones;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Another life of a back end announced itself: this one has ended. */
  onLifeOver(backendId: string): void;
}

/** The back ends that are announced to a gateway. */
export class GatewayBackends {
  private readonly lives = new BackendLives();
  /** What was wrong with the records of back ends, by name, as it was logged last. */
  private readonly problems = new Map<string, string>();

  constructor(private readonly parts: GatewayBackendsParts) {}

  /** Takes in the record under a back end's name. */
  take({ name, announcement, problem: unreadable }: DecodedBackend, position: StorePosition): void {
    const { changes, formerId, problem: passedOver } = this.lives.take(name, announcement);
    this.noteProblem(name, unreadable ?? passedOver, position);
    for (const { id, backend } of changes) {
      this.logChange(id, backend, position);
      const isWithdrawn = unreadable !== undefined;
      this.parts.dispatcher.updateBackend(id, backend, this.parts.clock.now(), isWithdrawn);
    }
    if (formerId !== undefined) {
      this.parts.onLifeOver(formerId);
    }
  }

  /** A line for each new problem of a back end: a record that is bad may be written with each heartbeat. */
  private noteProblem(
    name: string,
    problem: string | undefined,
    { epoch, revision }: StorePosition,
  ): void {
    if (problem === undefined) {
      this.problems.delete(name);
      return;
    }
    this.parts.metrics.record(({ recordsRefused }) => recordsRefused.inc());
    if (this.problems.get(name) !== problem) {
      this.problems.set(name, problem);
      const fields = { backend: name, problem, epoch, revision };
      this.parts.log.write('record-refused', 'state', fields);
    }
  }

  private logChange(
    id: string,
    backend: Backend | undefined,
    { epoch, revision }: StorePosition,
  ): void {
    const { log, unknownZones } = this.parts;
    log.write(backend === undefined ? 'backend-gone' : 'backend-learned', 'state', {
      backend: id,
      state: backend?.state,
      service: backend?.service,
      address: backend?.address,
      epoch,
      revision,
    });
    if (backend !== undefined && unknownZones.isNews(backend.zone)) {
      log.write('zone-unknown', 'state', { backendZone: backend.zone, backend: id });
    }
  }
}
