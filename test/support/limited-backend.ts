/**
 * A backend with a stated limit behind a simulated fleet of gateways on a virtual clock; records
 * every arrival.
 */
import { randomInteger } from '../../src/random.js';
import type { Backend } from '../../src/routing/backend.js';
import type { FleetProcess, QuotaFleet } from './quota-fleet.js';

/** Faults injected into the send rights that the check must detect. */
export interface RightsFault {
  /** Each gateway issues the whole limit to itself. */
  readonly issuesToSelf?: boolean;
  /** A right can be used repeatedly. */
  readonly reusesRights?: boolean;
  /** The fallback share of a gateway is the whole limit. */
  readonly fallbackIsWholeLimit?: boolean;
}

interface Arrival {
  readonly atMs: number;
  /** Whether the sending gateway had known the limit for `PROPAGATION_MS` or longer. */
  readonly isInformed: boolean;
}

interface QueuedSend {
  readonly tier: number;
  readonly endsAtMs: number;
}

const BACKEND_ID = 'w';
const STEP_MS = 5;
const SERVICE_TIME_MS = [5, 200] as const;
const NETWORK_DELAY_MS = [1, 8] as const;
const QUEUE_TIMEOUT_MS = 400;
const PROPAGATION_MS = 500;
/**
 * The limit is checked from this time after the first statement, over windows of this length, in
 * milliseconds.
 */
const ENFORCED_AFTER_MS = 3_000;
const WINDOW_MS = 4_000;
const TOLERANCE_FACTOR = 1.5;
const TOLERANCE_REQUESTS = 5;

/** The simulated backend and its callers. */
export class LimitedBackend {
  /** Limit stated in responses, in requests per second; undefined for none. */
  limitPerS: number | undefined;
  readonly arrivals: Arrival[] = [];
  sent = 0;
  private firstStatedAtMs = Infinity;
  private readonly informedAtMs = new WeakMap<FleetProcess, number>();
  private readonly queues = new WeakMap<FleetProcess, QueuedSend[]>();

  constructor(
    private readonly fleet: QuotaFleet,
    private readonly fault: RightsFault = {},
  ) {
    fleet.onConditionChange = (process) => process.runWhenActive(() => this.drainQueue(process));
  }

  /** Starts callers that send `perS` requests per second over all gateways. */
  beginDemand(perS: number): void {
    this.fleet.every(STEP_MS, () => {
      if (this.fleet.random.next() < (perS * STEP_MS) / 1_000) {
        const { gateways, random } = this.fleet;
        const { process } = gateways[randomInteger(random, 0, gateways.length - 1)]!;
        process?.runWhenActive(() => this.enqueue(process));
      }
    });
  }

  /**
   * Returns the arrivals in the worst window as a fraction of the number allowed by `limitPerS` and
   * the tolerance. Counts only arrivals from gateways that knew the limit.
   */
  worstShare(limitPerS: number): number {
    const bound = (WINDOW_MS / 1_000) * limitPerS * TOLERANCE_FACTOR + TOLERANCE_REQUESTS;
    const fromMs = this.firstStatedAtMs + ENFORCED_AFTER_MS;
    const counted = this.arrivals.filter(({ atMs, isInformed }) => isInformed && atMs >= fromMs);
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

  /** Returns the arrivals per second since `fromMs`. */
  rateSince(fromMs: number): number {
    const count = this.arrivals.filter(({ atMs }) => atMs >= fromMs).length;
    return (count / (this.fleet.clock.now() - fromMs)) * 1_000;
  }

  private enqueue(process: FleetProcess): void {
    this.injectFault(process);
    const tier = randomInteger(this.fleet.random, 0, 2);
    const queue = this.queues.get(process) ?? [];
    this.queues.set(process, queue);
    queue.push({ tier, endsAtMs: this.fleet.clock.now() + QUEUE_TIMEOUT_MS });
    queue.sort((left, right) => left.tier - right.tier);
    this.drainQueue(process);
  }

  private drainQueue(process: FleetProcess): void {
    const queue = this.queues.get(process) ?? [];
    const nowMs = this.fleet.clock.now();
    const unexpired = queue.filter(({ endsAtMs }) => endsAtMs > nowMs);
    queue.splice(0, queue.length, ...unexpired);
    const { rights } = process.statements;
    while (queue.length > 0) {
      rights.want(BACKEND_ID, { tier: queue[0]!.tier, rankInTier: 0 });
      if (!rights.mayBegin(BACKEND_ID)) {
        return;
      }
      queue.shift();
      rights.use(BACKEND_ID);
      this.send(process);
    }
  }

  private send(process: FleetProcess): void {
    const { clock, random } = this.fleet;
    const sentAtMs = clock.now();
    this.sent += 1;
    clock.setTimeout(
      () => this.receive(process, sentAtMs),
      randomInteger(random, ...NETWORK_DELAY_MS),
    );
  }

  private receive(process: FleetProcess, sentAtMs: number): void {
    const { clock, random } = this.fleet;
    const nowMs = clock.now();
    const isInformed = nowMs - (this.informedAtMs.get(process) ?? Infinity) >= PROPAGATION_MS;
    this.arrivals.push({ atMs: nowMs, isInformed });
    clock.setTimeout(
      () => process.runWhenActive(() => this.respond(process, sentAtMs)),
      randomInteger(random, ...SERVICE_TIME_MS),
    );
  }

  private respond(process: FleetProcess, sentAtMs: number): void {
    const { limitPerS } = this;
    if (limitPerS !== undefined) {
      const nowMs = this.fleet.clock.now();
      this.firstStatedAtMs = Math.min(this.firstStatedAtMs, nowMs);
      if (!this.informedAtMs.has(process)) {
        this.informedAtMs.set(process, nowMs);
      }
    }
    process.statements.receiveResponseHead({
      backend: { id: BACKEND_ID } as Backend,
      requestId: '',
      statement: { limitPerS, isLeaving: false, unreadable: [] },
      sentAtMs,
      isTurnedAway: false,
    });
  }

  /** Injects the configured fault into the internals of the send rights. */
  private injectFault(process: FleetProcess): void {
    const { issuesToSelf, reusesRights, fallbackIsWholeLimit } = this.fault;
    const { name } = process.gateway;
    const internals = process.statements as unknown as {
      rights: {
        use(id: string): void;
        ports: { issuerOf(id: string): string; countGateways(): number };
      };
      pools: { ports: { heldSinceMs(id: string): number } };
    };
    if (issuesToSelf === true) {
      internals.rights.ports.issuerOf = () => name;
      internals.pools.ports.heldSinceMs = () => 0;
    }
    if (reusesRights === true) {
      internals.rights.use = () => undefined;
    }
    if (fallbackIsWholeLimit === true) {
      internals.rights.ports.countGateways = () => 0.5;
    }
  }
}
