/**
 * Applies zone evacuations ordered by operators to a gateway's dispatcher and waiting requests, and
 * logs them.
 */
import type { Clock } from '../clock.js';
import { isLater } from '../cluster/store-position.js';
import type { ZoneTopology } from '../routing/zone-topology.js';
import { ZoneEvacuations } from '../routing/zone-evacuations.js';
import type { EvacuationChange, KnownEvacuation } from '../routing/zone-evacuations.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { Dispatcher } from './dispatch/dispatcher.js';
import type { KnownBackend } from './dispatch/known-backend.js';

/** Dependencies of `GatewayEvacuations`. */
export interface GatewayEvacuationsDependencies {
  readonly directory: Pick<BackendDirectory, 'list'>;
  readonly dispatcher: Pick<Dispatcher, 'changeOrders'>;
  readonly places: ZoneTopology;
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'write'>;
  /** Age of the view of the store, in milliseconds; undefined before the first confirmation. */
  storeAgeMs(): number | undefined;
  /** Redirects unsent requests whose backend is no longer permitted; returns their number. */
  withdrawUnsent(): number;
}

/** The zone evacuations that this gateway applies. */
export class GatewayEvacuations {
  readonly zones = new ZoneEvacuations();
  /**
   * Evacuated zones in which requests of this gateway may still run; once none does, `zone-cleared`
   * is logged.
   */
  private readonly drainingZones = new Set<string>();

  constructor(private readonly dependencies: GatewayEvacuationsDependencies) {}

  /** Applies an evacuation order or its removal, synchronously. */
  apply(change: EvacuationChange): void {
    const { dispatcher, clock } = this.dependencies;
    const nowMs = clock.now();
    const previous = this.zones.find(change.zone);
    if (previous !== undefined && !isLater(change, previous)) {
      return;
    }
    dispatcher.changeOrders(() => this.zones.apply(change, nowMs), nowMs);
    const withdrawn = change.isOrdered ? this.dependencies.withdrawUnsent() : 0;
    this.logApplied(change, previous, withdrawn);
  }

  /**
   * Logs each evacuated zone in which this gateway's last request has ended; called on each tick.
   */
  tick(): void {
    const { clock, log, places } = this.dependencies;
    for (const zone of this.drainingZones) {
      const backends = this.backendsOf(zone);
      if (countRunning(backends) > 0) {
        continue;
      }
      this.drainingZones.delete(zone);
      const { epoch, revision, learnedAtMs } = this.zones.find(zone)!;
      log.write('zone-cleared', 'state', {
        evacuatedZone: zone,
        epoch,
        revision,
        afterMs: clock.now() - learnedAtMs,
        // Logged here, not with the order: orders are applied before the backends of the same
        // listing.
        isKnownZone: places.isKnown(zone) || backends.length > 0,
      });
    }
  }

  private logApplied(
    change: EvacuationChange,
    previous: KnownEvacuation | undefined,
    withdrawn: number,
  ): void {
    const { log, clock, storeAgeMs } = this.dependencies;
    const { zone, isOrdered, epoch, revision } = change;
    const backends = this.backendsOf(zone);
    if (isOrdered) {
      this.drainingZones.add(zone);
    } else {
      this.drainingZones.delete(zone);
    }
    log.write('zone-evacuation', 'state', {
      evacuatedZone: zone,
      isOrdered,
      epoch,
      revision,
      backends: backends.length,
      running: countRunning(backends),
      withdrawn,
      stoodForMs: previous?.isOrdered === true ? clock.now() - previous.learnedAtMs : undefined,
      storeAgeMs: storeAgeMs(),
    });
  }

  private backendsOf(zone: string): KnownBackend[] {
    return this.dependencies.directory.list().filter(({ backend }) => backend.zone === zone);
  }
}

function countRunning(backends: readonly KnownBackend[]): number {
  return backends.reduce((sum, { outstanding }) => sum + outstanding, 0);
}
