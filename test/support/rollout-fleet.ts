import { err, ok } from '../../src/result.js';
import { StoreConflictError, StoreUnavailableError } from '../../src/cluster/cluster-store.js';
import { SeededRandom } from '../../src/random.js';
import type { Backend } from '../../src/routing/backend.js';
import { Rollouts } from '../../src/rollout/rollouts.js';
import type { RolloutOrder, RolloutState, RolloutStatus } from '../../src/rollout/rollout-order.js';
import { VirtualClock } from '../../src/sim/virtual-clock.js';
import { backendOf } from './gateway-harness.js';
import { positionAt } from './store-positions.js';
import type { StorePosition } from '../../src/cluster/store-position.js';

/** Failure behaviour of the target version. */
export interface VersionBehaviour {
  /** Share of bad requests on a route, at `elapsed`, a fraction of the order's time. */
  badShare(elapsed: number, route: string): number;
}

/** Faults injected during the rollout. */
export interface FleetFaults {
  /** Number of gateways whose writes the store rejects. */
  readonly rejectedGateways?: number;
  /** Fraction of the order's time at which every gateway restarts. */
  readonly restartAllAt?: number;
  /** Fraction of the order's time until which the store rejects all writes. */
  readonly storeUnavailableUntil?: number;
}

/** Result of a run. */
export interface RolloutRun {
  readonly state: RolloutState | undefined;
  /** Every state that was written, in order. */
  readonly written: RolloutState[];
  /** Fraction of the order's time at which the last state was written. */
  readonly endedAt: number;
  /**
   * Requests of the service and, of those, requests sent to the target version, from the order to
   * its deadline.
   */
  readonly sent: number;
  readonly targetSent: number;
  /** Requests sent to the target version over five seconds after its fiftieth bad response. */
  readonly sentAfterRollbackLimit: number;
  /** Requests in flight at old backends when the rollout was reported as completed. */
  readonly oldInFlightAtCompletion: number;
}

const GATEWAYS = 6;
const ROUTES = ['first', 'second', 'third'];
const BASELINE_BAD_SHARE = 0.02;
const REQUESTS_PER_S = 200;
/** Minimum and maximum service time of a request. */
const MIN_REQUEST_MS = 100;
const MAX_REQUEST_MS = 1_500;
const TICK_MS = 100;
const HEARTBEAT_MS = 400;
const STORE_DELAY_MS = 10;
const ROLLBACK_LIMIT_MS = 5_000;
const OLD_BACKEND: Backend = backendOf('old', { version: 'v1' });
const NEW_BACKEND: Backend = backendOf('new', { version: 'v2' });

/** Simulates the gateways of a rollout on the virtual clock. */
export class RolloutFleet {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly gateways: Rollouts[] = [];
  private readonly written: RolloutState[] = [];
  private status: RolloutStatus | undefined;
  private revision = 10;
  private endedAtMs = 0;
  private sent = 0;
  private targetSent = 0;
  private badResponses = 0;
  private fiftiethBadAtMs = Infinity;
  private sentAfterRollbackLimit = 0;
  private oldInFlight = 0;
  private oldInFlightAtCompletion = 0;
  private startCount = 0;

  constructor(
    seed: number,
    private readonly order: RolloutOrder,
    private readonly behaviour: VersionBehaviour,
    private readonly faults: FleetFaults = {},
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Runs the order until some time after its deadline. */
  async run(): Promise<RolloutRun> {
    const { durationMs } = this.order;
    for (let index = 0; index < GATEWAYS; index += 1) {
      this.gateways.push(this.start(index));
    }
    this.tick();
    this.exchangeReports();
    this.request();
    if (this.faults.restartAllAt !== undefined) {
      this.clock.setTimeout(() => this.restartAll(), durationMs * this.faults.restartAllAt);
    }
    await this.clock.runUntil(durationMs * 1.2);
    return {
      state: this.status?.state,
      written: this.written,
      endedAt: this.endedAtMs / durationMs,
      sent: this.sent,
      targetSent: this.targetSent,
      sentAfterRollbackLimit: this.sentAfterRollbackLimit,
      oldInFlightAtCompletion: this.oldInFlightAtCompletion,
    };
  }

  private get elapsedFraction(): number {
    return this.clock.now() / this.order.durationMs;
  }

  private start(index: number): Rollouts {
    this.startCount += 1;
    const rollouts = new Rollouts(
      `g${index}.${this.startCount}`,
      {
        countReady: () => ({ target: 3, others: 3 }),
        countGateways: () => GATEWAYS,
        write: (_order, state, follows) => this.write(index, state, follows),
        onWritten: () => undefined,
      },
      this.clock,
    );
    rollouts.applyOrder(this.order);
    if (this.status !== undefined) {
      rollouts.applyStatus(this.status);
    }
    return rollouts;
  }

  private restartAll(): void {
    this.gateways.forEach((_old, index) => (this.gateways[index] = this.start(index)));
  }

  private write(index: number, state: RolloutState, follows: StorePosition) {
    this.clock.markPromiseSettled();
    const isUnavailable = this.elapsedFraction < (this.faults.storeUnavailableUntil ?? 0);
    if (isUnavailable || index < (this.faults.rejectedGateways ?? 0)) {
      return Promise.resolve(err(new StoreUnavailableError('write rejected')));
    }
    if ((this.status?.revision ?? 0) !== follows.revision) {
      return Promise.resolve(err(new StoreConflictError('changed')));
    }
    this.revision += 1;
    this.status = { ...this.order, state, ...positionAt(this.revision) };
    this.written.push(state);
    this.endedAtMs = this.clock.now();
    if (state === 'completed') {
      this.oldInFlightAtCompletion = this.oldInFlight;
    }
    const { status } = this;
    this.clock.setTimeout(() => {
      this.gateways.forEach((gateway) => gateway.applyStatus(status));
    }, STORE_DELAY_MS);
    return Promise.resolve(ok(positionAt(this.revision)));
  }

  private tick(): void {
    this.gateways.forEach((gateway) => gateway.tick());
    this.clock.setTimeout(() => this.tick(), TICK_MS);
  }

  private exchangeReports(): void {
    this.gateways.forEach((gateway, from) => {
      const reports = gateway.peerReports();
      if (reports !== undefined) {
        this.gateways
          .filter((_peer, index) => index !== from)
          .forEach((peer) => peer.applyPeerReports(`g${from}.peer`, reports));
      }
    });
    this.clock.setTimeout(() => this.exchangeReports(), HEARTBEAT_MS);
  }

  private request(): void {
    this.send();
    const delayMs = (-Math.log(1 - this.random.next()) * 1_000) / REQUESTS_PER_S;
    this.clock.setTimeout(() => this.request(), delayMs);
  }

  private send(): void {
    const gateway = this.gateways[Math.floor(this.random.next() * GATEWAYS)]!;
    const isTarget = gateway.versionUse(NEW_BACKEND) !== 'closed' && this.prefersTarget(gateway);
    const backend = isTarget ? NEW_BACKEND : OLD_BACKEND;
    const route = ROUTES[Math.floor(this.random.next() * ROUTES.length)]!;
    const nowMs = this.clock.now();
    gateway.noteSent(backend);
    this.oldInFlight += isTarget ? 0 : 1;
    if (this.elapsedFraction <= 1) {
      this.sent += 1;
      this.targetSent += isTarget ? 1 : 0;
    }
    if (isTarget && nowMs > this.fiftiethBadAtMs + ROLLBACK_LIMIT_MS) {
      this.sentAfterRollbackLimit += 1;
    }
    const badShare = isTarget
      ? this.behaviour.badShare(this.elapsedFraction, route)
      : BASELINE_BAD_SHARE;
    const isBad = this.random.next() < badShare;
    const durationMs = MIN_REQUEST_MS + (MAX_REQUEST_MS - MIN_REQUEST_MS) * this.random.next() ** 2;
    this.clock.setTimeout(() => {
      this.oldInFlight -= isTarget ? 0 : 1;
      if (isTarget && isBad) {
        this.badResponses += 1;
        this.fiftiethBadAtMs = this.badResponses === 50 ? this.clock.now() : this.fiftiethBadAtMs;
      }
      gateway.noteEnded(backend, route, isBad);
    }, durationMs);
  }

  private prefersTarget(gateway: Rollouts): boolean {
    return (
      gateway.versionUse(NEW_BACKEND) === 'limited' || gateway.versionUse(OLD_BACKEND) === 'closed'
    );
  }
}
