/** Joins the roll-outs to a gateway: its back ends, its cluster, the adapter and the log. */
import type { StorePosition } from '../cluster/store-position.js';
import type { Clock } from '../clock.js';
import type { WeirvaleError } from '../request/errors.js';
import type { RolloutOrder, RolloutState, RolloutStatus } from '../rollout/rollout-order.js';
import { Rollouts } from '../rollout/rollouts.js';
import type { ReadyVersions } from '../rollout/service-rollout.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { GatewayAdapter } from './gateway-adapter.js';

/** What a gateway's roll-outs are made from. */
export interface GatewayRolloutsParts {
  /** Differs after each start of the process. */
  readonly incarnation: string;
  readonly directory: BackendDirectory;
  readonly adapter: Pick<GatewayAdapter, 'writeRolloutState'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  countGateways(): number;
  isEvacuated(zone: string): boolean;
}

/** A gateway's roll-outs. */
export class GatewayRollouts {
  readonly rollouts: Rollouts;

  constructor(private readonly parts: GatewayRolloutsParts) {
    const { incarnation, adapter, clock } = parts;
    this.rollouts = new Rollouts(
      incarnation,
      {
        countReady: (service, targetVersion) => this.countReady(service, targetVersion),
        countGateways: () => parts.countGateways(),
        write: (order, state, follows) => adapter.writeRolloutState(order, state, follows),
        onWritten: (order, state, failure) => this.noteWritten(order, state, failure),
      },
      clock,
    );
  }

  /** Takes in an order of the operators. */
  takeOrder(order: RolloutOrder): void {
    if (this.rollouts.takeOrder(order)) {
      this.parts.log.write('rollout-ordered', 'state', { ...order });
    }
  }

  /** An order was removed: its roll-out ends. */
  takeRemoval(service: string, position: StorePosition): void {
    if (this.rollouts.takeRemoval(service, position)) {
      this.parts.log.write('rollout-order-removed', 'state', { service, ...position });
    }
  }

  /** The store holds no state of a roll-out. */
  takeStatusRemoval(service: string, position: StorePosition): void {
    this.rollouts.takeStatusRemoval(service, position);
  }

  /** Takes in what the store tells of a roll-out. */
  takeStatus(status: RolloutStatus): void {
    this.rollouts.takeStatus(status);
    this.parts.log.write('rollout-state', 'state', { ...status });
  }

  /** Back ends of evacuated zones bear nothing, of whatever version. */
  private countReady(service: string, targetVersion: string): ReadyVersions {
    const { directory, isEvacuated } = this.parts;
    const ready = directory
      .ofService(service)
      .filter(({ backend, isReady }) => isReady && !isEvacuated(backend.zone));
    const target = ready.filter(({ backend }) => backend.version === targetVersion).length;
    return { target, others: ready.length - target };
  }

  private noteWritten(
    { service, targetVersion }: RolloutOrder,
    state: RolloutState,
    failure: WeirvaleError | undefined,
  ): void {
    const event = failure === undefined ? 'rollout-written' : 'rollout-not-written';
    const reason = failure?.message;
    this.parts.log.write(event, 'state', { service, targetVersion, state, reason });
  }
}
