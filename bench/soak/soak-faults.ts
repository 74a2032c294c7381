/** Random faults of a soak test, sequential and overlapping, drawn from its seed. */
import type { RandomSource } from '../../src/random.js';
import { randomInteger } from '../../src/random.js';
import type { ProxyBehavior } from './loopback-proxy.js';
import type { SoakFleet, SoakProcess } from './soak-fleet.js';
import type { FaultPair, InjectedFault } from './soak-pairs.js';
import { SILENCE_MS } from './soak-silences.js';
import { startStatement } from './soak-statements.js';

/** Time after a fault in which the affected processes may still recover, in milliseconds. */
const RECOVERY_MS = 3_500;
const SHUTDOWN_MS = 4_500;
/** Time from the announcement of the draining state to the next incarnation, in milliseconds. */
const DRAIN_MS = 4_000;
/**
 * Duration of an evacuation, in milliseconds. Some last into the fault-free period at the end,
 * where no fault excuses a violation.
 */
const EVACUATION_MIN_MS = 500;
const EVACUATION_MAX_MS = 9_000;
/** Time from an outage to the renewed announcement of a backend, in milliseconds. */
const REANNOUNCE_DELAY_MS = 1_000;

/** Time in which processes recover from a fault that has no duration, in milliseconds. */
const EFFECT_MS = 1_000;

/** What a fault does and for how long. */
type Injection = Pick<InjectedFault, 'description' | 'durationMs'>;

/** Injects one fault; its name is the kind of fault. */
type Fault = (fleet: SoakFleet, random: RandomSource) => Injection;

function injection(description: string, durationMs = EFFECT_MS): Injection {
  return { description, durationMs };
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[randomInteger(random, 0, items.length - 1)]!;
}

function markDisrupted(processes: readonly SoakProcess[], durationMs: number): void {
  for (const affected of processes) {
    const untilMs = performance.now() + durationMs + RECOVERY_MS;
    affected.disruptedUntilMs = Math.max(affected.disruptedUntilMs, untilMs);
  }
}

const FAULTS: readonly Fault[] = [
  function killGateway(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    markDisrupted([gateway], 0);
    gateway.signal('SIGKILL');
    return injection(`kill ${gateway.name}`);
  },
  function stopGateway(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    markDisrupted([gateway], SHUTDOWN_MS);
    gateway.signal('SIGTERM');
    return injection(`stop ${gateway.name}`);
  },
  function pauseGateway(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    const durationMs = randomInteger(random, 200, 1_500);
    markDisrupted([gateway], durationMs);
    gateway.signal('SIGSTOP');
    setTimeout(() => gateway.signal('SIGCONT'), durationMs);
    return injection(`pause ${gateway.name} for ${durationMs} ms`, durationMs);
  },
  /**
   * Simulates a power loss: the connections go silent before the process is killed and restarts.
   */
  function losePower(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    const durationMs = randomInteger(random, 700, 2_000);
    markDisrupted([gateway], durationMs);
    gateway.signal('SIGSTOP');
    setTimeout(() => gateway.signal('SIGKILL'), durationMs);
    return injection(`power loss of ${gateway.name}, silent for ${durationMs} ms`, durationMs);
  },
  function reloadGateway(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    return injection(
      gateway.reload() ? `reload ${gateway.name}` : `no reload: ${gateway.name} starts`,
    );
  },
  function killAgent(fleet, random) {
    const agent = pick(random, fleet.agents);
    agent.signal('SIGKILL');
    return injection(`kill ${agent.name}`);
  },
  function pauseAgent(fleet, random) {
    const agent = pick(random, fleet.agents);
    const durationMs = randomInteger(random, 300, 2_500);
    agent.signal('SIGSTOP');
    setTimeout(() => agent.signal('SIGCONT'), durationMs);
    return injection(`pause ${agent.name} for ${durationMs} ms`, durationMs);
  },
  function failStore(fleet, random) {
    const behavior = pick(random, ['refuses', 'silent', 'resets'] as const);
    const durationMs = randomInteger(random, 300, 2_000);
    markDisrupted(fleet.gateways, durationMs);
    fleet.store.behavior = behavior;
    setTimeout(() => (fleet.store.behavior = 'answers'), durationMs);
    return injection(`store ${behavior} for ${durationMs} ms`, durationMs);
  },
  function dropHistory(fleet) {
    fleet.store.dropHistory();
    return injection('store drops its change history');
  },
  function failStoreLink(fleet, random) {
    const index = randomInteger(random, 0, fleet.gateways.length - 1);
    return injectLinkFault(random, fleet.storeProxies[index]!, [fleet.gateways[index]!]);
  },
  function failBackendLink(fleet, random) {
    const index = randomInteger(random, 0, fleet.backendProxies.length - 1);
    const onBreak = (durationMs: number) => fleet.noteBreak(index, durationMs);
    return injectLinkFault(random, fleet.backendProxies[index]!, fleet.gateways, onBreak);
  },
  /**
   * Simulates a partitioned zone: its agents are silent and its engines are cut off in one
   * direction.
   */
  function partitionZone(fleet, random) {
    const zone = randomInteger(random, 0, 1);
    const behavior = pick(random, ['cut-towards-target', 'cut-from-target'] as const);
    const durationMs = randomInteger(random, 1_200, 3_000);
    const isInZone = (_process: unknown, index: number) => index % 2 === zone;
    const agents = fleet.agents.filter(isInZone);
    const proxies = fleet.backendProxies.filter(isInZone);
    markDisrupted(fleet.gateways, durationMs);
    agents.forEach((agent) => agent.signal('SIGSTOP'));
    proxies.forEach((proxy) => {
      proxy.behavior = behavior;
      fleet.noteBreak(fleet.backendProxies.indexOf(proxy), durationMs);
    });
    setTimeout(() => {
      agents.forEach((agent) => agent.signal('SIGCONT'));
      proxies.forEach((proxy) => {
        proxy.behavior = 'passes';
        proxy.resetAll();
      });
    }, durationMs);
    return injection(
      `engines of one zone ${behavior} for ${durationMs} ms, their agents paused`,
      durationMs,
    );
  },
  function failBackend(fleet, random) {
    const backend = pick(random, fleet.backends);
    const durationMs = randomInteger(random, 500, 2_000);
    Object.assign(backend.faults, { refuses: 0.2, loses: 0.1, breaks: 0.2 });
    setTimeout(
      () => Object.assign(backend.faults, { refuses: 0, loses: 0, breaks: 0 }),
      durationMs,
    );
    return injection(`${backend.id} fails for ${durationMs} ms`, durationMs);
  },
  function replaceBackend(fleet, random) {
    const index = randomInteger(random, 0, fleet.backends.length - 1);
    fleet.replaceBackend(index);
    return injection(`backend ${index} is replaced at its address`);
  },
  function drainBackend(fleet, random) {
    const index = randomInteger(random, 0, fleet.backends.length - 1);
    fleet.drainBackend(index);
    setTimeout(() => fleet.replaceBackend(index), DRAIN_MS);
    return injection(`backend ${index} is draining`);
  },
  function expireDuringOutage(fleet, random) {
    const index = randomInteger(random, 0, fleet.backends.length - 1);
    const durationMs = randomInteger(random, 600, 1_500);
    markDisrupted(fleet.gateways, durationMs);
    fleet.store.behavior = 'refuses';
    fleet.expireAnnouncement(index);
    setTimeout(() => (fleet.store.behavior = 'answers'), durationMs);
    setTimeout(() => fleet.announce(index, 'ready'), durationMs + REANNOUNCE_DELAY_MS);
    return injection(
      `announcement of backend ${index} expires during a store outage of ${durationMs} ms`,
      durationMs,
    );
  },
  function evacuateZone(fleet, random) {
    const index = randomInteger(random, 0, fleet.backends.length - 1);
    const durationMs = randomInteger(random, EVACUATION_MIN_MS, EVACUATION_MAX_MS);
    const evacuation = fleet.evacuate(index);
    setTimeout(() => fleet.endEvacuation(evacuation), durationMs).unref();
    return injection(`zone of backend ${index} is evacuated for ${durationMs} ms`, durationMs);
  },
  function silenceBackend(fleet, random) {
    const backend = pick(random, fleet.backends);
    const durationMs = randomInteger(random, SILENCE_MS.min, SILENCE_MS.max);
    backend.fallSilent(durationMs);
    return injection(`${backend.id} silent for ${durationMs} ms`, durationMs);
  },
  function makeStatement(fleet, random) {
    return injection(startStatement(fleet, random));
  },
  function changeConfiguration(fleet) {
    fleet.changeConfiguration();
    return injection('configuration change');
  },
];

function injectLinkFault(
  random: RandomSource,
  proxy: SoakFleet['storeProxies'][number],
  affected: readonly SoakProcess[],
  onBreak?: (durationMs: number) => void,
): Injection {
  const behaviors: readonly ProxyBehavior[] = [
    'delays',
    'resets',
    'cut-towards-target',
    'cut-from-target',
  ];
  const behavior = pick(random, behaviors);
  const durationMs = randomInteger(random, 300, 1_500);
  markDisrupted(affected, durationMs);
  onBreak?.(durationMs);
  proxy.behavior = behavior;
  if (behavior === 'resets') {
    proxy.resetAll();
  }
  setTimeout(() => {
    proxy.behavior = 'passes';
    proxy.resetAll();
  }, durationMs);
  return injection(`link ${behavior} for ${durationMs} ms`, durationMs);
}

/** Kinds that other sources inject as well; not drawn here, so that they have rates of their own. */
const PAIR_ONLY_KINDS = new Set(['silenceBackend', 'makeStatement']);
const DRAWN_FAULTS = FAULTS.filter(({ name }) => !PAIR_ONLY_KINDS.has(name));

/** Kinds of faults that may be injected in pairs. */
export const FAULT_KINDS = FAULTS.map(({ name }) => name);

/** Injects a fault drawn from `random`. */
export function injectFault(fleet: SoakFleet, random: RandomSource): InjectedFault {
  return inject(pick(random, DRAWN_FAULTS), fleet, random);
}

/**
 * Injects two faults at once. With equal sources they affect machines of equal index, for example
 * the same backend.
 */
export function injectPair(
  fleet: SoakFleet,
  [first, second]: FaultPair,
  sources: readonly [RandomSource, RandomSource],
): InjectedFault[] {
  return [inject(faultOf(first), fleet, sources[0]), inject(faultOf(second), fleet, sources[1])];
}

function faultOf(kind: string): Fault {
  return FAULTS.find(({ name }) => name === kind)!;
}

function inject(fault: Fault, fleet: SoakFleet, random: RandomSource): InjectedFault {
  const atMs = performance.now();
  return { kind: fault.name, atMs, ...fault(fleet, random) };
}

/**
 * Restores the store from a backup, after which operators and backends soon rewrite what the
 * backup lacks.
 */
export function restoreStoreFromBackup(fleet: SoakFleet, random: RandomSource): InjectedFault {
  const behavior = pick(random, ['refuses', 'silent', 'resets'] as const);
  const outageMs = randomInteger(random, 0, 2_000);
  const backupAgeMs = randomInteger(random, 200, 10_000);
  const rewriteMs = randomInteger(random, 50, 500);
  markDisrupted(fleet.gateways, outageMs + rewriteMs);
  fleet.store.behavior = behavior;
  setTimeout(() => {
    const reverted = fleet.store.restore(backupAgeMs + outageMs);
    fleet.store.behavior = 'answers';
    setTimeout(() => fleet.store.rewriteReverted(reverted), rewriteMs);
  }, outageMs);
  return {
    kind: 'restoreStore',
    description: `store ${behavior} for ${outageMs} ms, then as it was ${backupAgeMs} ms before`,
    atMs: performance.now(),
    durationMs: outageMs + rewriteMs,
  };
}
