/** Connects rollouts with a gateway's backends, cluster, adapter and log. */
import type { StorePosition } from '../cluster/store-position.js';
import type { Clock } from '../clock.js';
import type { WeirvaleError } from '../request/errors.js';
import type { RolloutOrder, RolloutState, RolloutStatus } from '../rollout/rollout-order.js';
import { Rollouts } from '../rollout/rollouts.js';
import type { ReadyBackendCounts } from '../rollout/service-rollout.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { GatewayAdapter } from './gateway-adapter.js';

/** Dependencies of `GatewayRollouts`. */
export interface GatewayRolloutsDependencies {
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly directory: BackendDirectory;
  readonly adapter: Pick<GatewayAdapter, 'writeRolloutState'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  countGateways(): number;
  isEvacuated(zone: string): boolean;
}

/** The rollouts that this gateway takes part in. */
export class GatewayRollouts {
  readonly rollouts: Rollouts;

  constructor(private readonly dependencies: GatewayRolloutsDependencies) {
    const { incarnation, adapter, clock } = dependencies;
    this.rollouts = new Rollouts(
      incarnation,
      {
        countReady: (service, targetVersion) => this.countReady(service, targetVersion),
        countGateways: () => dependencies.countGateways(),
        write: (order, state, expected) => adapter.writeRolloutState(order, state, expected),
        onWritten: (order, state, failure) => this.logWrite(order, state, failure),
      },
      clock,
    );
  }

  /** Applies an operator's rollout order. */
  applyOrder(order: RolloutOrder): void {
    if (this.rollouts.applyOrder(order)) {
      this.dependencies.log.write('rollout-ordered', 'state', { ...order });
    }
  }

  /** Ends the rollout whose order was removed. */
  removeOrder(service: string, position: StorePosition): void {
    if (this.rollouts.applyOrderRemoval(service, position)) {
      this.dependencies.log.write('rollout-order-removed', 'state', { service, ...position });
    }
  }

  /** Applies the removal of a rollout's status record. */
  removeStatus(service: string, position: StorePosition): void {
    this.rollouts.applyStatusRemoval(service, position);
  }

  /** Applies a rollout's status record. */
  applyStatus(status: RolloutStatus): void {
    this.rollouts.applyStatus(status);
    this.dependencies.log.write('rollout-state', 'state', { ...status });
  }

  /**
   * Counts ready backends by version; those in evacuated zones take no traffic and do not count.
   */
  private countReady(service: string, targetVersion: string): ReadyBackendCounts {
    const { directory, isEvacuated } = this.dependencies;
    const ready = directory
      .ofService(service)
      .filter(({ backend, isReady }) => isReady && !isEvacuated(backend.zone));
    const target = ready.filter(({ backend }) => backend.version === targetVersion).length;
    return { target, others: ready.length - target };
  }

  private logWrite(
    { service, targetVersion }: RolloutOrder,
    state: RolloutState,
    failure: WeirvaleError | undefined,
  ): void {
    const event = failure === undefined ? 'rollout-written' : 'rollout-not-written';
    const reason = failure?.message;
    this.dependencies.log.write(event, 'state', { service, targetVersion, state, reason });
  }
}
