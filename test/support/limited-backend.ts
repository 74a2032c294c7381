/** A back end that names a limit, before a fleet of gateways on a virtual clock; what it gets is kept. */
import { randomInteger } from '../../src/random.js';
import type { Backend } from '../../src/routing/backend.js';
import type { FleetProcess, QuotaFleet } from './quota-fleet.js';

/** Faults put into the rights, which the check has to find. */
export interface RightsFault {
  /** Each gateway deals out the whole limit to itself. */
  readonly dealsAlone?: boolean;
  /** A right serves again and again. */
  readonly reusesRights?: boolean;
  /** What a gateway has without asking is the whole limit. */
  readonly ownShareIsWhole?: boolean;
}

interface Arrival {
  readonly atMs: number;
  readonly isTold: boolean;
}

interface WaitingSend {
  readonly tier: number;
  readonly endsAtMs: number;
}

const ID = 'w';
const STEP_MS = 5;
const WORK_MS = [5, 200] as const;
const WAY_MS = [1, 8] as const;
const PATIENCE_MS = 400;
const HEED_MS = 500;
/** The rule binds from then on after the first word, over windows of this length, in milliseconds. */
const BINDS_AFTER_MS = 3_000;
const WINDOW_MS = 4_000;
const OVER = 1.5;
const SLACK = 5;

/** The back end, and who sends to it. */
export class LimitedBackend {
  /** Requests a second that it names in its answers; undefined for none. */
  limitPerS: number | undefined;
  readonly arrivals: Arrival[] = [];
  sent = 0;
  private firstSaidAtMs = Infinity;
  private readonly toldAtMs = new WeakMap<FleetProcess, number>();
  private readonly waiting = new WeakMap<FleetProcess, WaitingSend[]>();

  constructor(
    private readonly fleet: QuotaFleet,
    private readonly fault: RightsFault = {},
  ) {
    fleet.onCondition = (process) => process.act(() => this.serve(process));
  }

  /** Lets callers ask, so many requests a second over all gateways. */
  beginDemand(perS: number): void {
    this.fleet.every(STEP_MS, () => {
      if (this.fleet.random.next() < (perS * STEP_MS) / 1_000) {
        const { gateways, random } = this.fleet;
        const { process } = gateways[randomInteger(random, 0, gateways.length - 1)]!;
        process?.act(() => this.ask(process));
      }
    });
  }

  /** Worst window as a share of what a limit of `limitPerS` allows. */
  worstShare(limitPerS: number): number {
    const bound = (WINDOW_MS / 1_000) * limitPerS * OVER + SLACK;
    const fromMs = this.firstSaidAtMs + BINDS_AFTER_MS;
    const counted = this.arrivals.filter(({ atMs, isTold }) => isTold && atMs >= fromMs);
    let first = 0;
    return (
      counted.reduce((worst, { atMs }, index) => {
        while (counted[first]!.atMs < atMs - WINDOW_MS) {
          first += 1;
        }
        return Math.max(worst, index - first + 1);
      }, 0) / bound
    );
  }

  /** Arrivals a second since `fromMs`. */
  rateSince(fromMs: number): number {
    const count = this.arrivals.filter(({ atMs }) => atMs >= fromMs).length;
    return (count / (this.fleet.clock.now() - fromMs)) * 1_000;
  }

  private ask(process: FleetProcess): void {
    this.breakRights(process);
    const tier = randomInteger(this.fleet.random, 0, 2);
    const waiting = this.waiting.get(process) ?? [];
    this.waiting.set(process, waiting);
    waiting.push({ tier, endsAtMs: this.fleet.clock.now() + PATIENCE_MS });
    waiting.sort((left, right) => left.tier - right.tier);
    this.serve(process);
  }

  private serve(process: FleetProcess): void {
    const waiting = this.waiting.get(process) ?? [];
    const nowMs = this.fleet.clock.now();
    const useful = waiting.filter(({ endsAtMs }) => endsAtMs > nowMs);
    waiting.splice(0, waiting.length, ...useful);
    const { rights } = process.statements;
    while (waiting.length > 0) {
      rights.want(ID, { tier: waiting[0]!.tier, rankInTier: 0 });
      if (!rights.mayBegin(ID)) {
        return;
      }
      waiting.shift();
      rights.use(ID);
      this.send(process);
    }
  }

  private send(process: FleetProcess): void {
    const { clock, random } = this.fleet;
    const sentAtMs = clock.now();
    this.sent += 1;
    clock.setTimeout(() => this.receive(process, sentAtMs), randomInteger(random, ...WAY_MS));
  }

  private receive(process: FleetProcess, sentAtMs: number): void {
    const { clock, random } = this.fleet;
    const nowMs = clock.now();
    const isTold = nowMs - (this.toldAtMs.get(process) ?? Infinity) >= HEED_MS;
    this.arrivals.push({ atMs: nowMs, isTold });
    clock.setTimeout(
      () => process.act(() => this.answer(process, sentAtMs)),
      randomInteger(random, ...WORK_MS),
    );
  }

  private answer(process: FleetProcess, sentAtMs: number): void {
    const { limitPerS } = this;
    if (limitPerS !== undefined) {
      const nowMs = this.fleet.clock.now();
      this.firstSaidAtMs = Math.min(this.firstSaidAtMs, nowMs);
      if (!this.toldAtMs.has(process)) {
        this.toldAtMs.set(process, nowMs);
      }
    }
    process.statements.hear({
      backend: { id: ID } as Backend,
      requestId: '',
      statement: { limitPerS, isLeaving: false, unreadable: [] },
      sentAtMs,
      isTurnedAway: false,
    });
  }

  /** Breaks what the fault names, inside the rights. */
  private breakRights(process: FleetProcess): void {
    const { dealsAlone, reusesRights, ownShareIsWhole } = this.fault;
    const { name } = process.gateway;
    const inside = process.statements as unknown as {
      rights: {
        use(id: string): void;
        ports: { dealerOf(id: string): string; countGateways(): number };
      };
      pools: { ports: { heldSinceMs(id: string): number } };
    };
    if (dealsAlone === true) {
      inside.rights.ports.dealerOf = () => name;
      inside.pools.ports.heldSinceMs = () => 0;
    }
    if (reusesRights === true) {
      inside.rights.use = () => undefined;
    }
    if (ownShareIsWhole === true) {
      inside.rights.ports.countGateways = () => 0.5;
    }
  }
}
