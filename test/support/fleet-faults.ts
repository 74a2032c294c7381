/**
 * Random faults, sequential and overlapping, in a fleet of gateways that replicates the store's
 * records.
 */
import { randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { scenarioRandom, StoreFleet } from './store-fleet.js';
import type { FleetChange, FleetMachine, LateGateway, StoreFleetOptions } from './store-fleet.js';

/**
 * Time within which gateways apply a change without faults, and during faults elsewhere, in
 * milliseconds.
 */
const HEALTHY_BOUND_MS = 1_000;
const FAULT_BOUND_MS = 3_000;
/**
 * Time to recover after a fault of the store, and after one of the gateway itself, in milliseconds.
 */
const STORE_RECOVERY_MS = 2_000;
const GATEWAY_RECOVERY_MS = 3_000;
/**
 * Extra time for a removal after faults, in milliseconds: a missing record may only have expired.
 */
const REMOVAL_GRACE_MS = 6_600;
const SETTLE_MS = 6_000;
const STORE_FAULT_MODES = ['silent', 'refuses', 'resets'] as const;

/** Options of a run with faults. */
export interface FaultRunOptions extends StoreFleetOptions {
  /** Time during which faults occur, in milliseconds. */
  readonly lengthMs: number;
}

/** Result of a run with faults. */
export interface FaultRun {
  readonly late: readonly LateGateway[];
  readonly lateForOrders: readonly string[];
  readonly lateForDepartures: readonly string[];
  /** Gateways that considered a backend ready after they knew that it was draining. */
  readonly revertedToReady: readonly string[];
  /** Events of the run, in order, each line with its time in milliseconds. */
  readonly story: readonly string[];
}

/** Whether a gateway that has not applied a change at `nowMs` exceeds the time limits above. */
function isTooLate(
  fleet: StoreFleet,
  machine: FleetMachine,
  change: Pick<FleetChange, 'atMs'>,
  nowMs: number,
): boolean {
  const hadFaults = fleet.hadFault(change.atMs - FAULT_BOUND_MS);
  const dueMs = Math.max(
    change.atMs + (hadFaults ? FAULT_BOUND_MS : HEALTHY_BOUND_MS),
    fleet.storeFaultUntilMs(true) + STORE_RECOVERY_MS,
    // No gateway can learn of the change before the store is reachable again.
    fleet.storePathSinceMs + GATEWAY_RECOVERY_MS,
    machine.disruptedUntilMs + GATEWAY_RECOVERY_MS,
    machine.isolatedUntilMs + GATEWAY_RECOVERY_MS,
  );
  return nowMs > dueMs;
}

/** Runs a fleet with changes and faults. */
export async function runWithFaults(options: FaultRunOptions): Promise<FaultRun> {
  const fleet = new StoreFleet(options);
  const random = scenarioRandom(options.seed + 1);
  const orderRandom = scenarioRandom(options.seed + 2);
  const events: string[] = [];
  const logEvent = (text: string) => events.push(`${Math.round(fleet.clock.now())} ${text}`);
  await fleet.run(SETTLE_MS);
  fleet.isLate = (machine, change, nowMs) => isTooLate(fleet, machine, change, nowMs);
  fleet.isLateForEvacuation = (machine, order, nowMs) => {
    const hadFaults = fleet.hadFault(order.atMs - REMOVAL_GRACE_MS);
    const extraMs = !order.isOrdered && hadFaults ? REMOVAL_GRACE_MS : 0;
    return isTooLate(fleet, machine, order, nowMs - extraMs);
  };
  fleet.isLateForDeparture = (machine, departure, nowMs) =>
    isTooLate(fleet, machine, departure, nowMs);
  const faults = options.reportsEpochs === true ? FAULTS_AND_RESTORES : FAULTS;
  const endMs = fleet.clock.now() + options.lengthMs;
  for (let atMs = fleet.clock.now(); atMs < endMs; atMs += randomInteger(random, 300, 5_000)) {
    const injectFault = pick(random, faults);
    fleet.scheduleAt(atMs, () => logEvent(injectFault(fleet, random)));
  }
  for (let atMs = fleet.clock.now(); atMs < endMs; atMs += randomInteger(random, 100, 6_000)) {
    fleet.scheduleAt(atMs, () => logEvent(`change ${fleet.changeConfiguration().version}`));
  }
  for (
    let atMs = fleet.clock.now();
    atMs < endMs;
    atMs += randomInteger(orderRandom, 1_000, 12_000)
  ) {
    fleet.scheduleAt(atMs, () => {
      const isOrdered = fleet.evacuationOrders.at(-1)?.isOrdered !== true;
      fleet.orderEvacuation(isOrdered);
      logEvent(isOrdered ? 'the zone is evacuated' : 'the evacuation is revoked');
    });
  }
  if (options.reportsEpochs === true) {
    scheduleBackends(fleet, scenarioRandom(options.seed + 3), endMs, logEvent);
  }
  await fleet.run(options.lengthMs + FAULT_BOUND_MS);
  const {
    lateGateways: late,
    lateForEvacuations: lateForOrders,
    lateForDepartures,
    revertedToReady,
  } = fleet;
  return { late, lateForOrders, lateForDepartures, revertedToReady, story: events };
}

/** Schedules backends that register and some time later drain. */
function scheduleBackends(
  fleet: StoreFleet,
  random: RandomSource,
  endMs: number,
  logEvent: (text: string) => void,
): void {
  let number = 0;
  for (let atMs = fleet.clock.now(); atMs < endMs; atMs += randomInteger(random, 500, 4_000)) {
    number += 1;
    const backend = `b${number}`;
    fleet.scheduleAt(atMs, () => fleet.announceBackend(backend));
    fleet.scheduleAt(atMs + randomInteger(random, 200, 12_000), () => {
      fleet.drainBackend(backend);
      logEvent(`${backend} is draining`);
    });
  }
}

/** Injects a fault and returns its description. */
type Fault = (fleet: StoreFleet, random: RandomSource) => string;

const FAULTS: readonly Fault[] = [
  function failStore(fleet, random) {
    const mode = pick(random, STORE_FAULT_MODES);
    const forMs = logUniformMs(random, 200, 8_000);
    fleet.setStoreFault(mode, forMs);
    return `store fault '${mode}' for ${forMs} ms`;
  },
  function failStoreRepeatedly(fleet, random) {
    const mode = pick(random, STORE_FAULT_MODES);
    const times = randomInteger(random, 2, 5);
    for (let time = 0; time < times; time += 1) {
      fleet.scheduleAt(fleet.clock.now() + time * 2_000, () => fleet.setStoreFault(mode, 600));
    }
    return `store fault '${mode}' for 600 ms, ${times} times`;
  },
  function failStoreForGateways(fleet, random) {
    const mode = pick(random, STORE_FAULT_MODES);
    const forMs = logUniformMs(random, 300, 9_000);
    const hitsReaders = random.next() < 0.5;
    const machines = fleet.machines.filter(
      ({ cluster }) =>
        cluster !== undefined && (hitsReaders ? cluster.isReadingStore : random.next() < 0.4),
    );
    fleet.setStoreFaultFor(machines, mode, forMs);
    return `store fault '${mode}' for ${machines.length} gateways for ${forMs} ms`;
  },
  function slowStore(fleet, random) {
    const forMs = logUniformMs(random, 500, 6_000);
    const slowMs = randomInteger(random, 50, 1_400);
    fleet.slowStore(slowMs, forMs);
    return `store latency increased by ${slowMs} ms for ${forMs} ms`;
  },
  function dropResponses(fleet, random) {
    const forMs = logUniformMs(random, 500, 6_000);
    const share = random.next();
    fleet.loseResponses(share, forMs);
    return `store drops a share of ${share.toFixed(2)} of its responses for ${forMs} ms`;
  },
  function dropHistory(fleet, random) {
    const afterMs = randomInteger(random, 200, 1_200);
    fleet.dropStoreHistory(afterMs);
    return `store withholds changes for ${afterMs} ms and drops its history`;
  },
  function partition(fleet, random) {
    const forMs = logUniformMs(random, 300, 12_000);
    const direction = pick(random, ['both', 'out', 'in'] as const);
    const scope = pick(random, ['all', 'store', 'peers'] as const);
    const machines = sampleMachines(fleet, random, 0.3);
    machines.forEach((machine) => machine.cut(scope, direction, forMs));
    return `${formatAddresses(machines)} partitioned from ${scope}, direction ${direction}, for ${forMs} ms`;
  },
  function pause(fleet, random) {
    const forMs = logUniformMs(random, 200, 6_000);
    const machines = sampleMachines(fleet, random, 0.2);
    machines.forEach((machine) => machine.pause(forMs));
    return `${formatAddresses(machines)} paused for ${forMs} ms`;
  },
  function kill(fleet, random) {
    const downtimeMs = logUniformMs(random, 200, 3_000);
    const machines = sampleMachines(fleet, random, random.next() < 0.3 ? 1 : 0.2);
    machines.forEach((machine) => machine.kill(downtimeMs));
    return `${formatAddresses(machines)} killed, restarted after ${downtimeMs} ms`;
  },
];

/**
 * The same faults, and a store that is restored from a backup, once or repeatedly within seconds.
 */
const FAULTS_AND_RESTORES: readonly Fault[] = [
  ...FAULTS,
  function restore(fleet, random) {
    return scheduleRestores(fleet, random, 1);
  },
  function restoreRepeatedly(fleet, random) {
    return scheduleRestores(fleet, random, randomInteger(random, 2, 4));
  },
];

function scheduleRestores(fleet: StoreFleet, random: RandomSource, times: number): string {
  const descriptions: string[] = [];
  for (let time = 0; time < times; time += 1) {
    const downtimeMs = randomInteger(random, 0, 5) * randomInteger(random, 0, 2_000);
    const backupAgeMs = logUniformMs(random, 200, 20_000);
    const mode = pick(random, STORE_FAULT_MODES);
    const atMs = fleet.clock.now() + time * randomInteger(random, 300, 4_000);
    fleet.scheduleAt(atMs, () => fleet.restoreStore(downtimeMs, backupAgeMs, mode));
    descriptions.push(
      `at ${Math.round(atMs)} store fault '${mode}' for ${downtimeMs} ms, then a restore from ${backupAgeMs} ms before`,
    );
  }
  return descriptions.join('; ');
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[randomInteger(random, 0, items.length - 1)]!;
}

/** Returns a log-uniform random duration, so that short ones are as likely as long ones. */
function logUniformMs(random: RandomSource, minMs: number, maxMs: number): number {
  return Math.round(minMs * (maxMs / minMs) ** random.next());
}

function sampleMachines(fleet: StoreFleet, random: RandomSource, share: number): FleetMachine[] {
  const sample = fleet.machines.filter(() => random.next() < share);
  return sample.length > 0 ? sample : [pick(random, fleet.machines)];
}

function formatAddresses(machines: readonly FleetMachine[]): string {
  return machines.map(({ address }) => address).join(', ');
}
