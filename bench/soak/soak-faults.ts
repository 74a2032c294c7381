/** The faults of a soak, drawn from its seed; they come in series and overlap. */
import type { RandomSource } from '../../src/random.js';
import { randomInteger } from '../../src/random.js';
import type { ProxyMood } from './loopback-proxy.js';
import type { SoakFleet, SoakProcess } from './soak-fleet.js';

/** How long after a fault the processes it touched may still be behind, in milliseconds. */
const AFTERMATH_MS = 3_500;
const STOP_MS = 4_500;
/** Time from the announcement of a leave to the next incarnation. */
const DRAIN_MS = 4_000;
/** How long evacuations stand, in milliseconds: some into the calm at the end, where nothing excuses a gateway. */
const EVACUATION_MIN_MS = 500;
const EVACUATION_MAX_MS = 9_000;
/** Time after an outage until a back end announces itself again. */
const REANNOUNCE_MS = 1_000;

/** Does one fault; returns what it was. */
type Fault = (fleet: SoakFleet, random: RandomSource) => string;

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[randomInteger(random, 0, items.length - 1)]!;
}

function disturb(processes: readonly SoakProcess[], forMs: number): void {
  for (const each of processes) {
    const untilMs = performance.now() + forMs + AFTERMATH_MS;
    each.disturbedUntilMs = Math.max(each.disturbedUntilMs, untilMs);
  }
}

const FAULTS: readonly Fault[] = [
  function killGateway(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    disturb([gateway], 0);
    gateway.signal('SIGKILL');
    return `kill ${gateway.name}`;
  },
  function stopGateway(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    disturb([gateway], STOP_MS);
    gateway.signal('SIGTERM');
    return `stop ${gateway.name}`;
  },
  function pauseGateway(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    const forMs = randomInteger(random, 200, 1_500);
    disturb([gateway], forMs);
    gateway.signal('SIGSTOP');
    setTimeout(() => gateway.signal('SIGCONT'), forMs);
    return `pause ${gateway.name} for ${forMs} ms`;
  },
  /** As a machine that loses power: its connections say nothing, then it starts anew. */
  function loseGateway(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    const forMs = randomInteger(random, 700, 2_000);
    disturb([gateway], forMs);
    gateway.signal('SIGSTOP');
    setTimeout(() => gateway.signal('SIGKILL'), forMs);
    return `lose ${gateway.name}, silent for ${forMs} ms`;
  },
  function reloadGateway(fleet, random) {
    const gateway = pick(random, fleet.gateways);
    gateway.signal('SIGHUP');
    return `reload ${gateway.name}`;
  },
  function killAgent(fleet, random) {
    const agent = pick(random, fleet.agents);
    agent.signal('SIGKILL');
    return `kill ${agent.name}`;
  },
  function pauseAgent(fleet, random) {
    const agent = pick(random, fleet.agents);
    const forMs = randomInteger(random, 300, 2_500);
    agent.signal('SIGSTOP');
    setTimeout(() => agent.signal('SIGCONT'), forMs);
    return `pause ${agent.name} for ${forMs} ms`;
  },
  function troubleStore(fleet, random) {
    const mood = pick(random, ['refuses', 'silent', 'resets'] as const);
    const forMs = randomInteger(random, 300, 2_000);
    disturb(fleet.gateways, forMs);
    fleet.store.behavior = mood;
    setTimeout(() => (fleet.store.behavior = 'answers'), forMs);
    return `store ${mood} for ${forMs} ms`;
  },
  function forgetHistory(fleet) {
    fleet.store.dropHistory();
    return 'store forgets its history';
  },
  function cutStore(fleet, random) {
    const index = randomInteger(random, 0, fleet.gateways.length - 1);
    return troubleProxy(random, fleet.storeProxies[index]!, [fleet.gateways[index]!]);
  },
  function troubleBackendLink(fleet, random) {
    return troubleProxy(random, pick(random, fleet.backendProxies), fleet.gateways);
  },
  /** As a zone that is cut off: its agents are not heard, and requests to its engines hang one way. */
  function cutZone(fleet, random) {
    const zone = randomInteger(random, 0, 1);
    const mood = pick(random, ['cut-towards-target', 'cut-from-target'] as const);
    const forMs = randomInteger(random, 1_200, 3_000);
    const isInZone = (_each: unknown, index: number) => index % 2 === zone;
    const agents = fleet.agents.filter(isInZone);
    const proxies = fleet.backendProxies.filter(isInZone);
    disturb(fleet.gateways, forMs);
    agents.forEach((agent) => agent.signal('SIGSTOP'));
    proxies.forEach((proxy) => (proxy.mood = mood));
    setTimeout(() => {
      agents.forEach((agent) => agent.signal('SIGCONT'));
      proxies.forEach((proxy) => {
        proxy.mood = 'passes';
        proxy.resetAll();
      });
    }, forMs);
    return `half of the engines ${mood} for ${forMs} ms, their agents unheard`;
  },
  function failBackend(fleet, random) {
    const backend = pick(random, fleet.backends);
    const forMs = randomInteger(random, 500, 2_000);
    Object.assign(backend.faults, { refuses: 0.2, loses: 0.1, breaks: 0.2 });
    setTimeout(() => Object.assign(backend.faults, { refuses: 0, loses: 0, breaks: 0 }), forMs);
    return `${backend.id} fails for ${forMs} ms`;
  },
  function replaceBackend(fleet, random) {
    const index = randomInteger(random, 0, fleet.backends.length - 1);
    fleet.replaceBackend(index);
    return `another back end at the address of ${index}`;
  },
  function drainBackend(fleet, random) {
    const index = randomInteger(random, 0, fleet.backends.length - 1);
    fleet.drainBackend(index);
    setTimeout(() => fleet.replaceBackend(index), DRAIN_MS);
    return `back end ${index} leaves`;
  },
  function lapseInOutage(fleet, random) {
    const index = randomInteger(random, 0, fleet.backends.length - 1);
    const forMs = randomInteger(random, 600, 1_500);
    disturb(fleet.gateways, forMs);
    fleet.store.behavior = 'refuses';
    fleet.lapseBackend(index);
    setTimeout(() => (fleet.store.behavior = 'answers'), forMs);
    setTimeout(() => fleet.announce(index, 'ready'), forMs + REANNOUNCE_MS);
    return `back end ${index} lapses in an outage of the store of ${forMs} ms`;
  },
  function evacuateZone(fleet, random) {
    const index = randomInteger(random, 0, fleet.backends.length - 1);
    const forMs = randomInteger(random, EVACUATION_MIN_MS, EVACUATION_MAX_MS);
    const evacuation = fleet.evacuate(index);
    setTimeout(() => fleet.takeBack(evacuation), forMs).unref();
    return `the zone of back end ${index} is evacuated for ${forMs} ms`;
  },
  function changeConfiguration(fleet) {
    fleet.changeConfiguration();
    return 'change of the configuration';
  },
];

function troubleProxy(
  random: RandomSource,
  proxy: SoakFleet['storeProxies'][number],
  touched: readonly SoakProcess[],
): string {
  const moods: readonly ProxyMood[] = ['delays', 'resets', 'cut-towards-target', 'cut-from-target'];
  const mood = pick(random, moods);
  const forMs = randomInteger(random, 300, 1_500);
  disturb(touched, forMs);
  proxy.mood = mood;
  if (mood === 'resets') {
    proxy.resetAll();
  }
  setTimeout(() => {
    proxy.mood = 'passes';
    proxy.resetAll();
  }, forMs);
  return `link ${mood} for ${forMs} ms`;
}

/** Does one fault drawn from `random`. */
export function doFault(fleet: SoakFleet, random: RandomSource): string {
  return pick(random, FAULTS)(fleet, random);
}

/** The store comes back from a copy, and operators and back ends write again soon after what that lacks. */
export function restoreStore(fleet: SoakFleet, random: RandomSource): string {
  const mood = pick(random, ['refuses', 'silent', 'resets'] as const);
  const awayMs = randomInteger(random, 0, 2_000);
  const copyAgeMs = randomInteger(random, 200, 10_000);
  const rewriteMs = randomInteger(random, 50, 500);
  disturb(fleet.gateways, awayMs + rewriteMs);
  fleet.store.behavior = mood;
  setTimeout(() => {
    const lost = fleet.store.restore(copyAgeMs + awayMs);
    fleet.store.behavior = 'answers';
    setTimeout(() => fleet.store.rewriteReverted(lost), rewriteMs);
  }, awayMs);
  return `store ${mood} for ${awayMs} ms, then as ${copyAgeMs} ms before`;
}
