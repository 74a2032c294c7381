import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';
import * as fc from 'fast-check';
import { decodeRecord } from '../platform/record-formats.js';
import type { RoutingConfiguration } from '../src/routing/configuration.js';
import {
  findUnknownRegion,
  InvalidRegionsError,
  parseRegionList,
} from '../src/routing/region-lists.js';
import { RegionRestrictions } from '../src/routing/region-restrictions.js';
import { ZoneTopology } from '../src/routing/zone-topology.js';
import { EngineReplicaView } from '../src/slot-agent/engine-replica-view.js';
import { SlotAllocator } from '../src/slot-agent/slot-allocator.js';
import type { GatewaySlotMessage } from '../src/slot-agent/slot-messages.js';
import type { ForbiddenTake } from '../src/slot-agent/slot-allocator.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';
import { positionAt } from './support/store-positions.js';

const PLACES = new ZoneTopology(
  new Map([
    ['a1', 'a'],
    ['b1', 'b'],
  ]),
);

function configurationOf(version: number, ...lists: string[][]): RoutingConfiguration {
  const record = {
    key: 'op/config',
    ...positionAt(version),
    value: JSON.stringify({
      version,
      routes: lists.map((allowedRegions, index) => ({
        name: index === 0 ? 'r' : `r${index}`,
        host: 'h',
        pathPrefix: `/${index}/`,
        allowedRegions,
      })),
    }),
  };
  const decoded = decodeRecord(record);
  if (decoded.kind !== 'configuration') {
    throw new Error('the configuration record cannot be decoded');
  }
  return decoded.configuration;
}

/** A gateway and the agent of engine "far" in region b, connected by direct calls. */
class GatewayAgentPair {
  readonly world = new GatewayHarness();
  readonly agentView = new EngineReplicaView({ address: 'far:1', zone: 'b1' }, PLACES);
  readonly forbiddenTakes: ForbiddenTake[] = [];
  private readonly allocator: SlotAllocator;
  grants = 0;
  private deliveredCount = 0;

  constructor(gateway: RoutingConfiguration, agent: RoutingConfiguration) {
    this.allocator = new SlotAllocator({
      send: (_connection, message) => {
        if (message.kind === 'granted' || message.kind === 'state') {
          this.world.dispatcher.receiveFromAgent('far', message, this.world.clock.now());
        }
      },
      onGranted: () => (this.grants += 1),
      onChangesPending: () => undefined,
      onReconciled: () => undefined,
      onProbeNeeded: () => undefined,
      onAvailability: () => undefined,
      restriction: (regions, owner) => this.agentView.restriction(regions, owner),
      startRules: () => undefined,
      onStartsDelayed: () => undefined,
      regionInfo: () => this.agentView.regionInfo,
      onForbiddenTake: (take) => this.forbiddenTakes.push(take),
    });
    this.agentView.apply({ kind: 'configuration', configuration: agent }, 0);
    this.world.engines = true;
    this.world.version = gateway.version;
    this.world.restrictions = new RegionRestrictions(gateway);
    this.world.regions.set('a1', 'a').set('b1', 'b');
    const far = backendOf('far', { zone: 'b1', slots: 1 });
    this.world.dispatcher.updateBackend('far', far, 0);
    const hello = { kind: 'hello', gateway: 'g', held: 0, peersAddress: '', slots: 1 } as const;
    this.world.dispatcher.connectAgent('far', 0);
    this.allocator.receive(1, hello, 0);
  }

  /** Sends the agent a message that the gateway itself would not send. */
  sendToAgent(message: GatewaySlotMessage): void {
    this.allocator.receive(1, message, this.world.clock.now());
  }

  /**
   * Installs the next configuration in the gateway or the agent; the agent's state message arrives
   * immediately.
   */
  install(
    at: 'gateway' | 'agent',
    configurations: readonly RoutingConfiguration[],
    installed: Record<'gateway' | 'agent', number>,
  ): void {
    installed[at] = Math.min(configurations.length - 1, installed[at] + 1);
    const configuration = configurations[installed[at]]!;
    if (at === 'gateway') {
      this.world.restrictions = new RegionRestrictions(configuration);
      this.world.version = configuration.version;
      this.world.dispatcher.tick(this.world.clock.now());
    } else {
      this.agentView.apply({ kind: 'configuration', configuration }, 0);
      this.allocator.onRestrictionsChanged(this.world.clock.now());
    }
  }

  /** Delivers the messages that the gateway sent since the last call. */
  deliver(): void {
    for (; this.deliveredCount < this.world.agentMessages.length; this.deliveredCount += 1) {
      this.allocator.receive(
        1,
        this.world.agentMessages[this.deliveredCount]![1],
        this.world.clock.now(),
      );
    }
  }
}

test('an agent with a newer configuration grants no request that only the older one of a gateway permits', (t) => {
  const pair = new GatewayAgentPair(
    configurationOf(1, ['a', 'b'], []),
    configurationOf(2, ['a'], []),
  );
  pair.deliver();
  pair.world.request();
  pair.deliver();
  t.deepEqual(pair.world.attempts, []);
  // The same agent grants a request without a region restriction.
  pair.world.request({ route: routeOf({ name: 'r1' }), path: '/other' });
  pair.deliver();
  t.deepEqual(
    pair.world.attempts.map(({ path }) => path),
    ['/other'],
  );
  t.deepEqual(pair.forbiddenTakes, []);
});

test('an agent enforces allowed regions that the older configuration of a gateway does not name', (t) => {
  const pair = new GatewayAgentPair(configurationOf(1, [], []), configurationOf(2, ['a'], []));
  pair.deliver();
  pair.world.request();
  pair.deliver();
  t.deepEqual(pair.world.attempts, []);
  pair.world.request({ route: routeOf({ name: 'r1' }), path: '/other' });
  pair.deliver();
  t.deepEqual(
    pair.world.attempts.map(({ path }) => path),
    ['/other'],
  );
  t.deepEqual(pair.forbiddenTakes, []);
});

test('a request is sent if the configuration that gateway and agent share permits it', (t) => {
  const same = configurationOf(1, ['a', 'b'], []);
  const pair = new GatewayAgentPair(same, same);
  pair.deliver();
  pair.world.request();
  pair.deliver();
  t.is(pair.world.attempts.length, 1);
  t.deepEqual(pair.forbiddenTakes, []);
});

test('a gateway with a wrong region for a zone sends no request outside its allowed regions', (t) => {
  const both = configurationOf(1, ['a']);
  const pair = new GatewayAgentPair(both, both);
  pair.world.regions.set('b1', 'a');
  pair.deliver();
  const { reply } = pair.world.request();
  pair.deliver();
  t.deepEqual(pair.world.attempts, []);
  t.is(reply.status, 503);
  t.is(pair.world.requestEnds[0]?.reason, 'no-backend-at-home');
});

test('an agent grants no forbidden request although the gateway ignores its region info', (t) => {
  const both = configurationOf(1, ['a']);
  const pair = new GatewayAgentPair(both, both);
  const rank = { tier: 0, rankInTier: 0, waitedMs: 0, startInMs: 1_000 };
  const homeOwner = { route: 'r', tenant: undefined };
  pair.sendToAgent({ kind: 'demand', ranks: [{ ...rank, homeOwner }], grantsSeen: 0 });
  t.is(pair.grants, 0);
  pair.sendToAgent({ kind: 'demand', ranks: [{ ...rank, allowedRegions: ['a'] }], grantsSeen: 0 });
  t.is(pair.grants, 0);
  pair.sendToAgent({ kind: 'demand', ranks: [rank], grantsSeen: 0 });
  t.is(pair.grants, 1);
});

test('a slot taken for a request outside its allowed regions is reported with route and tenant', (t) => {
  const both = configurationOf(1, ['a'], []);
  const pair = new GatewayAgentPair(both, both);
  const homeOwner = { route: 'r', tenant: undefined };
  pair.sendToAgent({ kind: 'taken', allowedRegions: ['a', 'b'], homeOwner });
  pair.sendToAgent({ kind: 'taken', homeOwner: { route: 'r1', tenant: undefined } });
  pair.sendToAgent({ kind: 'taken' });
  t.deepEqual(pair.forbiddenTakes, [
    { gateway: 'g', reason: 'outside-home', allowedRegions: ['a', 'b'], homeOwner },
  ]);
});

const regionList = fc.constantFrom<string[]>([], ['a'], ['b'], ['a', 'b']);
const version = fc.tuple(regionList, regionList);
const event = fc.oneof(
  fc.record({ kind: fc.constant('request' as const), isFirst: fc.boolean() }),
  fc.record({ kind: fc.constant('deliver' as const) }),
  fc.record({ kind: fc.constant('end' as const), index: fc.nat(5) }),
  fc.record({ kind: fc.constant('install' as const), at: fc.constantFrom('gateway', 'agent') }),
);

test('no request is sent that the newer of both configurations forbids, for any versions and region tables', (t) => {
  const runs = fc.record({
    versions: fc.array(version, { minLength: 3, maxLength: 3 }),
    gatewayAt: fc.nat(2),
    agentAt: fc.nat(2),
    table: fc.constantFrom('a', 'b'),
    events: fc.array(event, { minLength: 5, maxLength: 40 }),
  });
  fc.assert(
    fc.property(runs, ({ versions, gatewayAt, agentAt, table, events }) => {
      const configurations = versions.map((lists, index) => configurationOf(index + 1, ...lists));
      const installed = { gateway: gatewayAt, agent: agentAt };
      const pair = new GatewayAgentPair(
        configurations[installed.gateway]!,
        configurations[installed.agent]!,
      );
      pair.world.regions.set('b1', table);
      pair.deliver();
      let checked = 0;
      const check = () => {
        for (; checked < pair.world.attempts.length; checked += 1) {
          const isFirst = pair.world.attempts[checked]!.path === '/first';
          const newest = versions[Math.max(installed.gateway, installed.agent)]!;
          const regions = newest[isFirst ? 0 : 1];
          // If the agent's configuration restricts no regions, only the gateway's own table applies.
          const isTableRight = table === 'b' || pair.agentView.regionInfo !== undefined;
          if (isTableRight && regions.length > 0 && !regions.includes('b')) {
            throw new Error(`sent to b, allowed are ${regions.join()}`);
          }
        }
      };
      for (const one of events) {
        if (one.kind === 'request') {
          const [name, path] = one.isFirst ? ['r', '/first'] : ['r1', '/second'];
          pair.world.request({ route: routeOf({ name, kind: 'unsafe', maxAttempts: 1 }), path });
        } else if (one.kind === 'deliver') {
          pair.deliver();
        } else if (one.kind === 'end') {
          const open = pair.world.attempts.filter(({ isCancelled }) => !isCancelled);
          const attempt = open[one.index % Math.max(1, open.length)];
          if (attempt !== undefined) {
            attempt.isCancelled = true;
            attempt.handlers.onFailure({ mayHaveRun: true, isPortClosed: false, detail: '' });
          }
        } else {
          pair.install(one.at, configurations, installed);
        }
        check();
      }
    }),
    { numRuns: 200 },
  );
  t.pass();
});

test('messages have no additional fields if the configuration restricts no regions', (t) => {
  const none = configurationOf(1, []);
  const pair = new GatewayAgentPair(none, none);
  pair.deliver();
  pair.world.request();
  const taken = pair.world.agentMessages.find(([, { kind }]) => kind === 'taken');
  t.deepEqual(taken?.[1], { kind: 'taken' });
  t.is(pair.agentView.regionInfo, undefined);
});

test('a list of regions is decoded, or rejected with its key, the value found and the values allowed', (t) => {
  t.deepEqual(parseRegionList('k', ['a', 'b', 'a']), ['a', 'b']);
  t.is(parseRegionList('k', undefined), undefined);
  t.is(parseRegionList('k', []), undefined);
  for (const bad of ['a', null, 7, { a: 1 }, ['a', 7], [''], ['a', null]]) {
    const error = t.throws(() => parseRegionList('k', bad), { instanceOf: InvalidRegionsError });
    t.is(error?.key, 'k');
    t.is(error?.found, JSON.stringify(bad));
    t.regex(error?.allowed ?? '', /list of names/);
  }
});

test('a record whose allowedRegions is no list is rejected with the reason', (t) => {
  const place = { name: 'r', host: 'a.example', pathPrefix: '/a/' };
  const value = JSON.stringify({ version: 2, routes: [{ ...place, allowedRegions: 'eu' }] });
  const decoded = decodeRecord({ key: 'op/config', ...positionAt(1), value });
  t.is(decoded.kind, 'invalid');
  t.regex(JSON.stringify(decoded), /routes\.r\.allowedRegions is .*eu.*; allowed is a list/);
});

test('an allowed region without any zone is reported with its key and the existing regions', (t) => {
  t.is(findUnknownRegion(configurationOf(1, ['a'], ['a', 'b'], []), PLACES), undefined);
  const error = findUnknownRegion(configurationOf(1, ['a'], ['a', 'c']), PLACES);
  t.is(error?.key, 'routes.r1.allowedRegions');
  t.is(error?.found, '"c"');
  t.is(error?.allowed, 'a, b');
  t.regex(
    findUnknownRegion(configurationOf(1, ['a']), new ZoneTopology(new Map()))?.message ?? '',
    /settings name no places/,
  );
});

test('an agent rejects a newer configuration that allows an unknown region', (t) => {
  const engine = new EngineReplicaView({ address: 'far:1', zone: 'b1' }, PLACES);
  engine.apply({ kind: 'configuration', configuration: configurationOf(1, ['a']) }, 0);
  engine.apply({ kind: 'configuration', configuration: configurationOf(2, ['b', 'c']) }, 0);
  t.is(engine.regionInfo?.configuration, 1);
  t.is(engine.restriction(undefined, { route: 'r', tenant: undefined }), 'outside-home');
});

test('no message to an agent carries the body, the headers, the path or the key of a request', (t) => {
  const both = configurationOf(1, ['a', 'b'], []);
  const pair = new GatewayAgentPair(both, both);
  pair.deliver();
  const secret = 'never-leaves';
  for (let count = 0; count < 3; count += 1) {
    const headers = ['authorization', secret, 'x', secret];
    pair.world.request({ body: Buffer.from(secret), headers, path: `/a/${secret}` });
    pair.deliver();
  }
  t.true(pair.world.agentMessages.some(([, { kind }]) => kind === 'demand'));
  t.true(pair.world.agentMessages.some(([, { kind }]) => kind === 'taken'));
  t.false(JSON.stringify(pair.world.agentMessages).includes(secret));
});

/** Folders of modules that exchange messages with other processes. */
const NETWORK_FOLDERS = ['src/cluster', 'src/slot-agent', 'src/gateway/links'];
/** Modules that handle data of callers: headers, bodies, accepted requests. */
const REQUEST_MODULES = /gateway\/(attempt|regions)\/|admission\/|gateway-requests/;

test('modules that exchange messages with gateways and agents import no module that holds request data', (t) => {
  for (const folder of NETWORK_FOLDERS) {
    for (const name of readdirSync(folder)) {
      const text = readFileSync(join(folder, name), 'utf8');
      const imports = [...text.matchAll(/ from '([^']+)'/g)].map(([, path]) => path!);
      t.deepEqual(
        imports.filter((path) => REQUEST_MODULES.test(path)),
        [],
        `${folder}/${name}`,
      );
    }
  }
});
