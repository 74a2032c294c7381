import { err, ok } from '../../src/result.js';
import { StoreConflictError, StoreUnavailableError } from '../../src/cluster/cluster-store.js';
import { SeededRandom } from '../../src/random.js';
import type { Backend } from '../../src/routing/backend.js';
import { Rollouts } from '../../src/rollout/rollouts.js';
import type { RolloutOrder, RolloutState, RolloutStatus } from '../../src/rollout/rollout-order.js';
import { VirtualClock } from '../../src/sim/virtual-clock.js';
import { backendOf } from './gateway.js';
import { at } from './positions.js';
import type { StorePosition } from '../../src/cluster/store-position.js';

/** How the target version behaves. */
export interface VersionBehaviour {
  /** Share of its requests that go badly, at a part of the order's time and on a route. */
  badShare(part: number, route: string): number;
}

/** What happens to the gateways meanwhile. */
export interface FleetTroubles {
  /** Gateways that the store turns away. */
  readonly turnedAway?: number;
  /** Part of the order's time at which every gateway is restarted. */
  readonly restartAllAt?: number;
  /** Part of the order's time until which the store takes no writes. */
  readonly storeAwayUntil?: number;
}

/** What a run showed. */
export interface RolloutRun {
  readonly state: RolloutState | undefined;
  /** Every state that was written, in order. */
  readonly written: RolloutState[];
  /** Part of the order's time at which the last state was written. */
  readonly endedAt: number;
  /** Requests of the service, and those that the target version got, from the order to its deadline. */
  readonly sent: number;
  readonly exposed: number;
  /** Bad answers of the target version after the fiftieth one's time plus five seconds. */
  readonly sentLongAfterFifty: number;
  /** Requests that ran at old back ends when the roll-out was said to be completed. */
  readonly cutOff: number;
}

const GATEWAYS = 6;
const ROUTES = ['first', 'second', 'third'];
const USUAL_BAD_SHARE = 0.02;
const REQUESTS_PER_S = 200;
/** Shortest and longest time of a request at a back end. */
const WORK_MIN_MS = 100;
const WORK_MAX_MS = 1_500;
const TICK_MS = 100;
const BEAT_MS = 400;
const STORE_MS = 10;
const ROLLBACK_MS = 5_000;
const OLD: Backend = backendOf('old', { version: 'v1' });
const NEW: Backend = backendOf('new', { version: 'v2' });

/** Gateways that roll a version out, on the virtual clock. */
export class RolloutFleet {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly gateways: Rollouts[] = [];
  private readonly written: RolloutState[] = [];
  private status: RolloutStatus | undefined;
  private revision = 10;
  private endedAtMs = 0;
  private sent = 0;
  private exposed = 0;
  private badAnswers = 0;
  private fiftiethAtMs = Infinity;
  private sentLongAfterFifty = 0;
  private atOld = 0;
  private cutOff = 0;
  private lives = 0;

  constructor(
    seed: number,
    private readonly order: RolloutOrder,
    private readonly behaviour: VersionBehaviour,
    private readonly troubles: FleetTroubles = {},
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Plays the order to some time after its deadline. */
  async run(): Promise<RolloutRun> {
    const { durationMs } = this.order;
    for (let index = 0; index < GATEWAYS; index += 1) {
      this.gateways.push(this.start(index));
    }
    this.tick();
    this.beat();
    this.request();
    if (this.troubles.restartAllAt !== undefined) {
      this.clock.setTimeout(() => this.restartAll(), durationMs * this.troubles.restartAllAt);
    }
    await this.clock.runUntil(durationMs * 1.2);
    return {
      state: this.status?.state,
      written: this.written,
      endedAt: this.endedAtMs / durationMs,
      sent: this.sent,
      exposed: this.exposed,
      sentLongAfterFifty: this.sentLongAfterFifty,
      cutOff: this.cutOff,
    };
  }

  private get part(): number {
    return this.clock.now() / this.order.durationMs;
  }

  private start(index: number): Rollouts {
    this.lives += 1;
    const rollouts = new Rollouts(
      `g${index}.${this.lives}`,
      {
        countReady: () => ({ target: 3, others: 3 }),
        countGateways: () => GATEWAYS,
        write: (_order, state, follows) => this.write(index, state, follows),
        onWritten: () => undefined,
      },
      this.clock,
    );
    rollouts.takeOrder(this.order);
    if (this.status !== undefined) {
      rollouts.takeStatus(this.status);
    }
    return rollouts;
  }

  private restartAll(): void {
    this.gateways.forEach((_old, index) => (this.gateways[index] = this.start(index)));
  }

  private write(index: number, state: RolloutState, follows: StorePosition) {
    this.clock.notePromise();
    const isAway = this.part < (this.troubles.storeAwayUntil ?? 0);
    if (isAway || index < (this.troubles.turnedAway ?? 0)) {
      return Promise.resolve(err(new StoreUnavailableError('turned away')));
    }
    if ((this.status?.revision ?? 0) !== follows.revision) {
      return Promise.resolve(err(new StoreConflictError('changed')));
    }
    this.revision += 1;
    this.status = { ...this.order, state, ...at(this.revision) };
    this.written.push(state);
    this.endedAtMs = this.clock.now();
    if (state === 'completed') {
      this.cutOff = this.atOld;
    }
    const { status } = this;
    this.clock.setTimeout(() => {
      this.gateways.forEach((gateway) => gateway.takeStatus(status));
    }, STORE_MS);
    return Promise.resolve(ok(at(this.revision)));
  }

  private tick(): void {
    this.gateways.forEach((gateway) => gateway.tick());
    this.clock.setTimeout(() => this.tick(), TICK_MS);
  }

  private beat(): void {
    this.gateways.forEach((gateway, from) => {
      const told = gateway.tell();
      if (told !== undefined) {
        this.gateways
          .filter((_peer, index) => index !== from)
          .forEach((peer) => peer.hear(`g${from}.peer`, told));
      }
    });
    this.clock.setTimeout(() => this.beat(), BEAT_MS);
  }

  private request(): void {
    this.send();
    const pauseMs = (-Math.log(1 - this.random.next()) * 1_000) / REQUESTS_PER_S;
    this.clock.setTimeout(() => this.request(), pauseMs);
  }

  private send(): void {
    const gateway = this.gateways[Math.floor(this.random.next() * GATEWAYS)]!;
    const isTarget = gateway.useOf(NEW) !== 'closed' && this.prefersTarget(gateway);
    const backend = isTarget ? NEW : OLD;
    const route = ROUTES[Math.floor(this.random.next() * ROUTES.length)]!;
    const nowMs = this.clock.now();
    gateway.noteSent(backend);
    this.atOld += isTarget ? 0 : 1;
    if (this.part <= 1) {
      this.sent += 1;
      this.exposed += isTarget ? 1 : 0;
    }
    if (isTarget && nowMs > this.fiftiethAtMs + ROLLBACK_MS) {
      this.sentLongAfterFifty += 1;
    }
    const badShare = isTarget ? this.behaviour.badShare(this.part, route) : USUAL_BAD_SHARE;
    const isBad = this.random.next() < badShare;
    const workMs = WORK_MIN_MS + (WORK_MAX_MS - WORK_MIN_MS) * this.random.next() ** 2;
    this.clock.setTimeout(() => {
      this.atOld -= isTarget ? 0 : 1;
      if (isTarget && isBad) {
        this.badAnswers += 1;
        this.fiftiethAtMs = this.badAnswers === 50 ? this.clock.now() : this.fiftiethAtMs;
      }
      gateway.noteEnded(backend, route, isBad);
    }, workMs);
  }

  private prefersTarget(gateway: Rollouts): boolean {
    return gateway.useOf(NEW) === 'limited' || gateway.useOf(OLD) === 'closed';
  }
}
