/** The roll-outs that a gateway knows of: which versions it may use, what it tells, what it writes. */
import type { Clock } from '../clock.js';
import { isLater } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { Result } from '../result.js';
import type { WeirvaleError } from '../request/errors.js';
import type { Backend } from '../routing/backend.js';
import type { RolloutOrder, RolloutState, RolloutStatus, VersionUse } from './rollout-order.js';
import { ServiceRollout } from './service-rollout.js';
import type { PeerRollout, ReadyVersions } from './service-rollout.js';

/** What gateways tell each other of their roll-outs, by service. */
export type PeerRollouts = Readonly<Record<string, PeerRollout>>;

/** What roll-outs need from their surroundings. */
export interface RolloutPorts {
  /** Ready back ends of a service, by whether they are of `targetVersion`. */
  countReady(service: string, targetVersion: string): ReadyVersions;
  /** Gateways that are known, this one included. */
  countGateways(): number;
  /** Writes a state where the last one is at `follows` (revision 0: there is none). */
  write(
    order: RolloutOrder,
    state: RolloutState,
    follows: StorePosition,
  ): Promise<Result<unknown, WeirvaleError>>;
  /** A state was written, or the store did not take it. */
  onWritten(order: RolloutOrder, state: RolloutState, failure: WeirvaleError | undefined): void;
}

/** Pause after a write that the store did not take, in milliseconds: its news may come meanwhile. */
const WRITE_RETRY_MS = 500;

/** Roll-outs by service. */
export class Rollouts {
  private readonly rollouts = new Map<string, ServiceRollout>();
  private readonly statuses = new Map<string, RolloutStatus>();
  /** When the next write of a service may begin, in milliseconds; Infinity while one is under way. */
  private readonly writeAfterMs = new Map<string, number>();

  constructor(
    private readonly gateway: string,
    private readonly ports: RolloutPorts,
    private readonly clock: Clock,
  ) {}

  /** Takes in an order; says whether it is news. */
  takeOrder(order: RolloutOrder): boolean {
    const known = this.rollouts.get(order.service);
    if (known !== undefined && !isLater(order, known.order)) {
      return false;
    }
    if (known !== undefined && !known.isRemoved && isWrittenAgain(order, known.order)) {
      known.follow(order);
      return false;
    }
    const rollout = new ServiceRollout(order, this.gateway, this.clock.now());
    const status = this.statuses.get(order.service);
    if (status !== undefined) {
      rollout.takeStatus(status);
    }
    this.rollouts.set(order.service, rollout);
    return true;
  }

  /** An order was removed at `position`; says whether that ended a roll-out that was known. */
  takeRemoval(service: string, position: StorePosition): boolean {
    const known = this.rollouts.get(service);
    if (known === undefined || !isLater(position, known.order)) {
      return false;
    }
    if (known.state === 'completed') {
      this.rollouts.delete(service);
    } else {
      known.remove();
    }
    return true;
  }

  /** Takes in what the store tells of a roll-out. */
  takeStatus(status: RolloutStatus): void {
    this.statuses.set(status.service, status);
    this.rollouts.get(status.service)?.takeStatus(status);
  }

  /** The store holds no state of a roll-out at `position`. */
  takeStatusRemoval(service: string, position: StorePosition): void {
    const status = this.statuses.get(service);
    if (status !== undefined && position.epoch > status.epoch) {
      this.statuses.delete(service);
      this.rollouts.get(service)?.loseStatus();
    }
  }

  /** How a back end may be used. */
  useOf({ service, version }: Backend): VersionUse {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined) {
      return 'open';
    }
    const use = rollout.useOf(version);
    return use === 'closed' && this.isTheOnlyOne(rollout, version) ? 'open' : use;
  }

  /**
   * Whether a version that is closed is better than none. The target's back ends may all be in evacuated zones,
   * and a service may be given yet other versions after a roll-out; one without an order has no other judge.
   */
  private isTheOnlyOne({ order, isRemoved }: ServiceRollout, version: string): boolean {
    const { service, targetVersion } = order;
    if (version !== targetVersion) {
      return this.ports.countReady(service, targetVersion).target === 0;
    }
    return isRemoved && this.ports.countReady(service, targetVersion).others === 0;
  }

  /** A request is sent to a back end. */
  noteSent({ service, version }: Backend): void {
    this.rollouts.get(service)?.noteSent(version, this.clock.now());
  }

  /** A request that was sent ended; `isBad` is undefined where its end says nothing of the back end. */
  noteEnded({ service, version }: Backend, route: string, isBad: boolean | undefined): void {
    this.rollouts.get(service)?.noteEnded(version, route, isBad, this.clock.now());
  }

  /** A peer told of its roll-outs. */
  hear(peer: string, told: PeerRollouts): void {
    for (const [service, rollout] of Object.entries(told)) {
      this.rollouts.get(service)?.hear(peer, rollout, this.clock.now());
    }
  }

  /** What peers are to be told; undefined where no roll-out is under way. */
  tell(): PeerRollouts | undefined {
    const underWay = [...this.rollouts].filter(([, { isOver }]) => !isOver);
    if (underWay.length === 0) {
      return undefined;
    }
    const nowMs = this.clock.now();
    return Object.fromEntries(underWay.map(([service, rollout]) => [service, rollout.tell(nowMs)]));
  }

  /** Writes the states that are due; to be called each tick. */
  tick(): void {
    for (const [service, rollout] of this.rollouts) {
      const { targetVersion } = rollout.order;
      const nowMs = this.clock.now();
      const surroundings = {
        ready: this.ports.countReady(service, targetVersion),
        gateways: this.ports.countGateways(),
      };
      const state = rollout.stateToWrite(surroundings, nowMs);
      if (state !== undefined && nowMs >= (this.writeAfterMs.get(service) ?? 0)) {
        void this.write(rollout, state);
      }
    }
  }

  private async write(rollout: ServiceRollout, state: RolloutState): Promise<void> {
    const { order, storedAt } = rollout;
    this.writeAfterMs.set(order.service, Infinity);
    const written = await this.ports.write(order, state, storedAt);
    this.writeAfterMs.set(order.service, this.clock.now() + WRITE_RETRY_MS);
    this.ports.onWritten(order, state, written.ok ? undefined : written.val);
  }
}

/** Whether an order is one that was known before the store came back from a copy. */
function isWrittenAgain(order: RolloutOrder, known: RolloutOrder): boolean {
  const isSame =
    order.targetVersion === known.targetVersion && order.durationMs === known.durationMs;
  return order.epoch > known.epoch && isSame;
}
