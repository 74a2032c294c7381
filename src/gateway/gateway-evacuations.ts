/** Joins the operators' evacuations to a gateway: what is sent, what is reckoned with, the log. */
import type { Clock } from '../clock.js';
import { isLater } from '../cluster/store-position.js';
import type { Places } from '../routing/places.js';
import { ZoneEvacuations } from '../routing/zone-evacuations.js';
import type { EvacuationChange, KnownEvacuation } from '../routing/zone-evacuations.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { Dispatcher } from './dispatch/dispatcher.js';
import type { KnownBackend } from './dispatch/known-backend.js';

/** What a gateway's evacuations are made from. */
export interface GatewayEvacuationsParts {
  readonly directory: Pick<BackendDirectory, 'list'>;
  readonly dispatcher: Pick<Dispatcher, 'changeOrders'>;
  readonly places: Places;
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'write'>;
  /** How old the store's last word is, in milliseconds. */
  storeAgeMs(): number | undefined;
  /** Requests whose back end is not permitted any more go elsewhere where nothing was sent; says how many. */
  withdrawUnsent(): number;
}

/** A gateway's evacuations. */
export class GatewayEvacuations {
  readonly zones = new ZoneEvacuations();
  /** Evacuated zones where requests of this gateway still run. */
  private readonly clearing = new Set<string>();

  constructor(private readonly parts: GatewayEvacuationsParts) {}

  /** Takes in an order or its removal; it is acted on before this returns. */
  take(change: EvacuationChange): void {
    const { dispatcher, clock } = this.parts;
    const nowMs = clock.now();
    const before = this.zones.find(change.zone);
    if (before !== undefined && !isLater(change, before)) {
      return;
    }
    dispatcher.changeOrders(() => this.zones.take(change, nowMs), nowMs);
    const withdrawn = change.isOrdered ? this.parts.withdrawUnsent() : 0;
    this.noteActed(change, before, withdrawn);
  }

  /** Notices when nothing of this gateway runs in an evacuated zone any more; to be called each tick. */
  tick(): void {
    const { clock, log, places } = this.parts;
    for (const zone of this.clearing) {
      const backends = this.backendsOf(zone);
      if (countRunning(backends) > 0) {
        continue;
      }
      this.clearing.delete(zone);
      const { epoch, revision, learnedAtMs } = this.zones.find(zone)!;
      log.write('zone-cleared', 'state', {
        evacuatedZone: zone,
        epoch,
        revision,
        afterMs: clock.now() - learnedAtMs,
        // Said here, not with the order: a listing names orders before the back ends of their zones.
        isKnownZone: places.isKnown(zone) || backends.length > 0,
      });
    }
  }

  private noteActed(
    change: EvacuationChange,
    before: KnownEvacuation | undefined,
    withdrawn: number,
  ): void {
    const { log, clock, storeAgeMs } = this.parts;
    const { zone, isOrdered, epoch, revision } = change;
    const backends = this.backendsOf(zone);
    if (isOrdered) {
      this.clearing.add(zone);
    } else {
      this.clearing.delete(zone);
    }
    log.write('zone-evacuation', 'state', {
      evacuatedZone: zone,
      isOrdered,
      epoch,
      revision,
      backends: backends.length,
      running: countRunning(backends),
      withdrawn,
      stoodForMs: before?.isOrdered === true ? clock.now() - before.learnedAtMs : undefined,
      storeAgeMs: storeAgeMs(),
    });
  }

  private backendsOf(zone: string): KnownBackend[] {
    return this.parts.directory.list().filter(({ backend }) => backend.zone === zone);
  }
}

function countRunning(backends: readonly KnownBackend[]): number {
  return backends.reduce((sum, { outstanding }) => sum + outstanding, 0);
}
