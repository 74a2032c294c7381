/** Troubles of a fleet that learns the store's records, drawn from a seed: in series and overlapping. */
import { randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { scenarioRandom, StoreFleet } from './store-fleet.js';
import type { FleetChange, FleetMachine, LateGateway, StoreFleetOptions } from './store-fleet.js';

/** Time in which a change is in force in calm, and while something is in trouble elsewhere, in milliseconds. */
const CALM_BOUND_MS = 1_000;
const TROUBLE_BOUND_MS = 3_000;
/** Time after the end of a trouble of the store, and of a gateway's own, in milliseconds. */
const AFTER_STORE_MS = 2_000;
const AFTER_OWN_MS = 3_000;
/** Time by which a removal may be later after troubles: what is missing may only have lapsed. */
const REMOVAL_MS = 6_600;
const SETTLE_MS = 6_000;
const MOODS = ['silent', 'refuses', 'resets'] as const;

/** How a run with troubles is made. */
export interface TroubledRunOptions extends StoreFleetOptions {
  /** Time with troubles, in milliseconds. */
  readonly lengthMs: number;
}

/** What a run with troubles showed. */
export interface TroubledRun {
  readonly late: readonly LateGateway[];
  readonly lateForOrders: readonly string[];
  readonly lateForLeaves: readonly string[];
  /** Gateways that took a back end for ready that they had known to leave. */
  readonly readyAgain: readonly string[];
  /** What happened, in order. */
  readonly story: readonly string[];
}

/** Whether a gateway that does not know a change breaks the bounds that the fleet is held to. */
function isTooLate(
  fleet: StoreFleet,
  machine: FleetMachine,
  change: Pick<FleetChange, 'atMs'>,
  nowMs: number,
): boolean {
  const isTroubled = fleet.wasTroubled(change.atMs - TROUBLE_BOUND_MS);
  const dueMs = Math.max(
    change.atMs + (isTroubled ? TROUBLE_BOUND_MS : CALM_BOUND_MS),
    fleet.storeTroubledUntilMs(true) + AFTER_STORE_MS,
    // Before that nobody can know.
    fleet.storePathSinceMs + AFTER_OWN_MS,
    machine.disturbedUntilMs + AFTER_OWN_MS,
    machine.isolatedUntilMs + AFTER_OWN_MS,
  );
  return nowMs > dueMs;
}

/** Plays changes beside troubles. */
export async function runTroubled(options: TroubledRunOptions): Promise<TroubledRun> {
  const fleet = new StoreFleet(options);
  const random = scenarioRandom(options.seed + 1);
  const orders = scenarioRandom(options.seed + 2);
  const story: string[] = [];
  const tell = (words: string) => story.push(`${Math.round(fleet.clock.now())} ${words}`);
  await fleet.run(SETTLE_MS);
  fleet.isLate = (machine, change, nowMs) => isTooLate(fleet, machine, change, nowMs);
  fleet.isLateForOrder = (machine, order, nowMs) => {
    const isTroubled = fleet.wasTroubled(order.atMs - REMOVAL_MS);
    const extraMs = !order.isOrdered && isTroubled ? REMOVAL_MS : 0;
    return isTooLate(fleet, machine, order, nowMs - extraMs);
  };
  fleet.isLateForLeave = (machine, leave, nowMs) => isTooLate(fleet, machine, leave, nowMs);
  const troubles = options.countsEpochs === true ? TROUBLES_AND_COPIES : TROUBLES;
  const endMs = fleet.clock.now() + options.lengthMs;
  for (let atMs = fleet.clock.now(); atMs < endMs; atMs += randomInteger(random, 300, 5_000)) {
    const trouble = pick(random, troubles);
    fleet.at(atMs, () => tell(trouble(fleet, random)));
  }
  for (let atMs = fleet.clock.now(); atMs < endMs; atMs += randomInteger(random, 100, 6_000)) {
    fleet.at(atMs, () => tell(`change ${fleet.change().version}`));
  }
  for (let atMs = fleet.clock.now(); atMs < endMs; atMs += randomInteger(orders, 1_000, 12_000)) {
    fleet.at(atMs, () => {
      const isOrdered = fleet.orders.at(-1)?.isOrdered !== true;
      fleet.order(isOrdered);
      tell(isOrdered ? 'the zone is evacuated' : 'the zone is taken back');
    });
  }
  if (options.countsEpochs === true) {
    planBackends(fleet, scenarioRandom(options.seed + 3), endMs, tell);
  }
  await fleet.run(options.lengthMs + TROUBLE_BOUND_MS);
  const { late, lateForOrders, lateForLeaves, readyAgain } = fleet;
  return { late, lateForOrders, lateForLeaves, readyAgain, story };
}

/** Back ends announce themselves, and say some time later that they leave. */
function planBackends(
  fleet: StoreFleet,
  random: RandomSource,
  endMs: number,
  tell: (words: string) => void,
): void {
  let number = 0;
  for (let atMs = fleet.clock.now(); atMs < endMs; atMs += randomInteger(random, 500, 4_000)) {
    number += 1;
    const backend = `b${number}`;
    fleet.at(atMs, () => fleet.announce(backend));
    fleet.at(atMs + randomInteger(random, 200, 12_000), () => {
      fleet.leave(backend);
      tell(`${backend} leaves`);
    });
  }
}

/** Brings a trouble about; returns what it was. */
type Trouble = (fleet: StoreFleet, random: RandomSource) => string;

const TROUBLES: readonly Trouble[] = [
  function troubleStore(fleet, random) {
    const mood = pick(random, MOODS);
    const forMs = duration(random, 200, 8_000);
    fleet.troubleStore(mood, forMs);
    return `the store ${mood} for ${forMs} ms`;
  },
  function troubleStoreAgainAndAgain(fleet, random) {
    const mood = pick(random, MOODS);
    const times = randomInteger(random, 2, 5);
    for (let time = 0; time < times; time += 1) {
      fleet.at(fleet.clock.now() + time * 2_000, () => fleet.troubleStore(mood, 600));
    }
    return `the store ${mood} for 600 ms, ${times} times`;
  },
  function turnAway(fleet, random) {
    const mood = pick(random, MOODS);
    const forMs = duration(random, 300, 9_000);
    const isReaders = random.next() < 0.5;
    const machines = fleet.machines.filter(
      ({ cluster }) =>
        cluster !== undefined && (isReaders ? cluster.isReadingStore : random.next() < 0.4),
    );
    fleet.turnAway(machines, mood, forMs);
    return `the store ${mood} for ${machines.length} gateways for ${forMs} ms`;
  },
  function slowStore(fleet, random) {
    const forMs = duration(random, 500, 6_000);
    const slowMs = randomInteger(random, 50, 1_400);
    fleet.slowStore(slowMs, forMs);
    return `the store is slower by ${slowMs} ms for ${forMs} ms`;
  },
  function loseAnswers(fleet, random) {
    const forMs = duration(random, 500, 6_000);
    const share = random.next();
    fleet.loseAnswers(share, forMs);
    return `the store loses ${share.toFixed(2)} of its answers for ${forMs} ms`;
  },
  function forgetHistory(fleet, random) {
    const afterMs = randomInteger(random, 200, 1_200);
    fleet.forgetHistory(afterMs);
    return `the store holds changes back for ${afterMs} ms and drops its history`;
  },
  function cut(fleet, random) {
    const forMs = duration(random, 300, 12_000);
    const way = pick(random, ['both', 'out', 'in'] as const);
    const scope = pick(random, ['all', 'store', 'peers'] as const);
    const machines = some(fleet, random, 0.3);
    machines.forEach((machine) => machine.cut(scope, way, forMs));
    return `${names(machines)} cut off from ${scope}, ${way}, for ${forMs} ms`;
  },
  function pause(fleet, random) {
    const forMs = duration(random, 200, 6_000);
    const machines = some(fleet, random, 0.2);
    machines.forEach((machine) => machine.pause(forMs));
    return `${names(machines)} stand still for ${forMs} ms`;
  },
  function kill(fleet, random) {
    const awayMs = duration(random, 200, 3_000);
    const machines = some(fleet, random, random.next() < 0.3 ? 1 : 0.2);
    machines.forEach((machine) => machine.kill(awayMs));
    return `${names(machines)} killed, back after ${awayMs} ms`;
  },
];

/** The same, and a store that comes back from a copy, alone or again within seconds. */
const TROUBLES_AND_COPIES: readonly Trouble[] = [
  ...TROUBLES,
  function restore(fleet, random) {
    return restoreTimes(fleet, random, 1);
  },
  function restoreAgain(fleet, random) {
    return restoreTimes(fleet, random, randomInteger(random, 2, 4));
  },
];

function restoreTimes(fleet: StoreFleet, random: RandomSource, times: number): string {
  const words: string[] = [];
  for (let time = 0; time < times; time += 1) {
    const awayMs = randomInteger(random, 0, 5) * randomInteger(random, 0, 2_000);
    const copyAgeMs = duration(random, 200, 20_000);
    const mood = pick(random, MOODS);
    const atMs = fleet.clock.now() + time * randomInteger(random, 300, 4_000);
    fleet.at(atMs, () => fleet.restoreStore(awayMs, copyAgeMs, mood));
    words.push(
      `at ${Math.round(atMs)} the store ${mood} for ${awayMs} ms, then ${copyAgeMs} ms older`,
    );
  }
  return words.join('; ');
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[randomInteger(random, 0, items.length - 1)]!;
}

/** Short ones are as likely as long ones. */
function duration(random: RandomSource, leastMs: number, mostMs: number): number {
  return Math.round(leastMs * (mostMs / leastMs) ** random.next());
}

function some(fleet: StoreFleet, random: RandomSource, share: number): FleetMachine[] {
  const drawn = fleet.machines.filter(() => random.next() < share);
  return drawn.length > 0 ? drawn : [pick(random, fleet.machines)];
}

function names(machines: readonly FleetMachine[]): string {
  return machines.map(({ address }) => address).join(', ');
}
