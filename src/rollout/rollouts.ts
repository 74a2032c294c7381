/** The rollouts known to a gateway: permitted versions, reports to peers, and state writes. */
import type { Clock } from '../clock.js';
import { isLater } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { Result } from '../result.js';
import type { WeirvaleError } from '../request/errors.js';
import type { Backend } from '../routing/backend.js';
import type { RolloutOrder, RolloutState, RolloutStatus, VersionUse } from './rollout-order.js';
import { ServiceRollout } from './service-rollout.js';
import type { PeerRolloutReport, ReadyBackendCounts } from './service-rollout.js';

/** Rollout reports that gateways exchange, by service. */
export type PeerRolloutReports = Readonly<Record<string, PeerRolloutReport>>;

/** Dependencies of `Rollouts`. */
export interface RolloutPorts {
  /** Counts a service's ready backends with `targetVersion`, and those with other versions. */
  countReady(service: string, targetVersion: string): ReadyBackendCounts;
  /** Counts the known gateways, including this one. */
  countGateways(): number;
  /** Writes a state on condition that the stored one is at `follows` (revision 0: none stored). */
  write(
    order: RolloutOrder,
    state: RolloutState,
    follows: StorePosition,
  ): Promise<Result<unknown, WeirvaleError>>;
  /** Called after a write; `failure` is set if the store rejected it. */
  onWritten(order: RolloutOrder, state: RolloutState, failure: WeirvaleError | undefined): void;
}

/**
 * Delay between writes, in milliseconds; after a rejected write, the newer record may arrive in
 * this time.
 */
const WRITE_RETRY_MS = 500;

/** Rollouts by service. */
export class Rollouts {
  private readonly rollouts = new Map<string, ServiceRollout>();
  private readonly statuses = new Map<string, RolloutStatus>();
  /** Earliest time of a service's next write, in milliseconds; Infinity while one is in flight. */
  private readonly writeAfterMs = new Map<string, number>();

  constructor(
    private readonly gateway: string,
    private readonly ports: RolloutPorts,
    private readonly clock: Clock,
  ) {}

  /** Applies an order; returns true if it starts a new rollout. */
  applyOrder(order: RolloutOrder): boolean {
    const known = this.rollouts.get(order.service);
    if (known !== undefined && !isLater(order, known.order)) {
      return false;
    }
    if (known !== undefined && !known.isRemoved && isRestoredOrder(order, known.order)) {
      known.updateOrder(order);
      return false;
    }
    const rollout = new ServiceRollout(order, this.gateway, this.clock.now());
    const status = this.statuses.get(order.service);
    if (status !== undefined) {
      rollout.applyStatus(status);
    }
    this.rollouts.set(order.service, rollout);
    return true;
  }

  /** Applies the removal of an order at `position`; returns true if that ended a known rollout. */
  applyOrderRemoval(service: string, position: StorePosition): boolean {
    const known = this.rollouts.get(service);
    if (known === undefined || !isLater(position, known.order)) {
      return false;
    }
    if (known.state === 'completed') {
      this.rollouts.delete(service);
    } else {
      known.markOrderRemoved();
    }
    return true;
  }

  /** Applies a stored rollout state. */
  applyStatus(status: RolloutStatus): void {
    this.statuses.set(status.service, status);
    this.rollouts.get(status.service)?.applyStatus(status);
  }

  /**
   * Handles a rollout state missing from the store as of `position`. Only a later epoch counts:
   * there the store was restored without the state.
   */
  applyStatusRemoval(service: string, position: StorePosition): void {
    const status = this.statuses.get(service);
    if (status !== undefined && position.epoch > status.epoch) {
      this.statuses.delete(service);
      this.rollouts.get(service)?.clearStoredStatus();
    }
  }

  /** Returns how a backend may be used. */
  versionUse({ service, version }: Backend): VersionUse {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined) {
      return 'open';
    }
    const use = rollout.versionUse(version);
    return use === 'closed' && this.isOnlyAvailableVersion(rollout, version) ? 'open' : use;
  }

  /**
   * Whether a closed version must be used because no other is available. The target's backends may
   * all be in evacuated zones, and a service may get further versions after a rollout. Once the
   * order was removed, the target is used only if there are no other versions.
   */
  private isOnlyAvailableVersion({ order, isRemoved }: ServiceRollout, version: string): boolean {
    const { service, targetVersion } = order;
    if (version !== targetVersion) {
      return this.ports.countReady(service, targetVersion).target === 0;
    }
    return isRemoved && this.ports.countReady(service, targetVersion).others === 0;
  }

  /** Records that a request is sent to a backend. */
  noteSent({ service, version }: Backend): void {
    this.rollouts.get(service)?.noteSent(version, this.clock.now());
  }

  /**
   * Records that a sent request ended; `isBad` is undefined where the outcome is not attributable
   * to the backend.
   */
  noteEnded({ service, version }: Backend, route: string, isBad: boolean | undefined): void {
    this.rollouts.get(service)?.noteEnded(version, route, isBad, this.clock.now());
  }

  /** Applies a peer's reports; those of unknown services are ignored. */
  applyPeerReports(peer: string, reports: PeerRolloutReports): void {
    for (const [service, report] of Object.entries(reports)) {
      this.rollouts.get(service)?.applyPeerReport(peer, report, this.clock.now());
    }
  }

  /** Returns the reports for peers; undefined where no rollout is in progress. */
  peerReports(): PeerRolloutReports | undefined {
    const inProgress = [...this.rollouts].filter(([, { isOver }]) => !isOver);
    if (inProgress.length === 0) {
      return undefined;
    }
    const nowMs = this.clock.now();
    return Object.fromEntries(
      inProgress.map(([service, rollout]) => [service, rollout.peerReport(nowMs)]),
    );
  }

  /** Writes the states that are due; called on each tick. */
  tick(): void {
    for (const [service, rollout] of this.rollouts) {
      const { targetVersion } = rollout.order;
      const nowMs = this.clock.now();
      const context = {
        ready: this.ports.countReady(service, targetVersion),
        gateways: this.ports.countGateways(),
      };
      const state = rollout.stateToWrite(context, nowMs);
      if (state !== undefined && nowMs >= (this.writeAfterMs.get(service) ?? 0)) {
        void this.write(rollout, state);
      }
    }
  }

  private async write(rollout: ServiceRollout, state: RolloutState): Promise<void> {
    const { order, storedPosition } = rollout;
    this.writeAfterMs.set(order.service, Infinity);
    const written = await this.ports.write(order, state, storedPosition);
    this.writeAfterMs.set(order.service, this.clock.now() + WRITE_RETRY_MS);
    this.ports.onWritten(order, state, written.ok ? undefined : written.val);
  }
}

/**
 * Whether an order is the known one, rewritten in a later store epoch after the store was restored
 * from a backup.
 */
function isRestoredOrder(order: RolloutOrder, known: RolloutOrder): boolean {
  const isSame =
    order.targetVersion === known.targetVersion && order.durationMs === known.durationMs;
  return order.epoch > known.epoch && isSame;
}
