import test from 'ava';
import { unconstrained } from '../src/gateway/dispatch/dispatch-request.js';
import * as fc from 'fast-check';
import { headerValue } from '../src/http/header-value.js';
import { reportRegions, reportExcluded } from '../src/gateway/regions/region-report.js';
import { RequestRegions } from '../src/gateway/regions/request-regions.js';
import { RequestAdmission } from '../src/gateway/admission/request-admission.js';
import { addEnginesOfNamedRegions } from '../src/gateway/dispatch/named-region-engines.js';
import { SeededRandom } from '../src/random.js';
import { DEFAULT_CALLER_LIMITS } from '../src/routing/configuration.js';
import type { Tenant } from '../src/routing/configuration.js';
import { RegionRestrictions } from '../src/routing/region-restrictions.js';
import { RoutingTable } from '../src/routing/routing-table.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

const REGIONS = new Map([
  ['a1', 'a'],
  ['a2', 'a'],
  ['b1', 'b'],
]);

/** Allowed regions by route and tenant name; null for an unrestricted one. */
function regionsOf(
  routes: Record<string, readonly string[] | null>,
  tenants: Record<string, readonly string[] | null> = {},
): RegionRestrictions {
  const entries = (lists: typeof routes) =>
    Object.entries(lists).map(([name, regions]) => ({
      name: headerValue(name),
      allowedRegions: regions ?? undefined,
    }));
  return new RegionRestrictions({
    routes: entries(routes).map((entry) => routeOf(entry)),
    tenants: entries(tenants).map((entry) => tenantOf(entry)),
  });
}

function tenantOf(changes: Partial<Tenant>): Tenant {
  const base = { name: headerValue('t'), apiKeys: [], priority: undefined, quota: undefined };
  return { ...base, allowedRegions: undefined, ...changes };
}

function worldOf(
  restrictions: RegionRestrictions,
  ...backends: Parameters<typeof backendOf>[]
): GatewayHarness {
  const world = new GatewayHarness();
  REGIONS.forEach((region, zone) => world.regions.set(zone, region));
  world.restrictions = restrictions;
  for (const backend of backends) {
    world.dispatcher.updateBackend(backend[0], backendOf(...backend), 0);
  }
  return world;
}

function attemptedBackends(world: GatewayHarness): string[] {
  return world.attempts.map(({ backend }) => backend.id);
}

test('a request follows the active configuration; a removed route or tenant keeps its narrowest regions', (t) => {
  let restrictions = regionsOf({ r: ['a', 'b'] }, { t: ['a', 'b', 'c'] });
  const request = new RequestRegions({ route: 'r', tenant: 't' }, () => restrictions);
  t.deepEqual(request.allowed, new Set(['a', 'b']));
  restrictions = regionsOf({ r: ['a', 'b'] }, { t: ['b'] });
  t.deepEqual(request.allowed, new Set(['b']));
  restrictions = regionsOf({ r: null }, { t: ['b', 'c'] });
  t.deepEqual(request.allowed, new Set(['b', 'c']));
  restrictions = regionsOf({}, {});
  t.deepEqual(request.allowed, new Set(['b']));
});

test('an unrestricted request stays unrestricted when its route is removed', (t) => {
  let restrictions = regionsOf({ r: null });
  const request = new RequestRegions({ route: 'r', tenant: undefined }, () => restrictions);
  restrictions = regionsOf({ other: ['a'] });
  t.is(request.allowed, undefined);
});

test('routes that share a name all restrict the regions of a request', (t) => {
  const routes = [
    routeOf({ name: 'r', allowedRegions: ['a', 'b'] }),
    routeOf({ name: 'r', pathPrefix: '/b/', allowedRegions: ['b', 'c'] }),
  ];
  const restrictions = new RegionRestrictions({ routes, tenants: [] });
  t.deepEqual(restrictions.allowedRegionsOf({ route: 'r', tenant: undefined }), new Set(['b']));
});

test('a waiting request is sent only to regions that a newer configuration allows', (t) => {
  const world = worldOf(
    regionsOf({ r: ['a'] }),
    ['near', { zone: 'a1', slots: 1 }],
    ['far', { zone: 'b1', slots: 1 }],
  );
  world.request();
  world.request();
  t.deepEqual(attemptedBackends(world), ['near']);
  world.restrictions = regionsOf({ r: ['b'] });
  world.answer(0, 200, 'done');
  world.dispatcher.tick(world.clock.now());
  t.deepEqual(attemptedBackends(world), ['near', 'far']);
});

test('a retry uses the allowed regions that were configured after the first attempt', (t) => {
  const world = worldOf(
    regionsOf({ r: ['a'] }),
    ['first', { zone: 'a1' }],
    ['second', { zone: 'a2' }],
    ['far', { zone: 'b1' }],
  );
  world.request();
  world.restrictions = regionsOf({ r: ['b'] });
  world.attempts[0]!.handlers.onFailure({ mayHaveRun: false, isPortClosed: true, detail: '' });
  t.is(attemptedBackends(world).length, 2);
  t.is(attemptedBackends(world)[1], 'far');
});

test('a request on a suspected path is not moved to a backend outside its allowed regions', (t) => {
  const world = worldOf(regionsOf({ r: ['a'] }), ['w', { zone: 'a1' }], ['far', { zone: 'b1' }]);
  world.dispatcher.updateBackend('other', backendOf('other', { zone: 'a2' }), 0);
  world.request();
  const used = world.attempts[0]!.backend.id;
  const paths = world.directory.list().filter(({ backend }) => backend.id !== 'far');
  paths.forEach(({ path }) => path.suspect('agent-silent', world.clock.now()));
  world.directory.find(used)!.path.notifyLost();
  t.false(world.attempts[0]!.isCancelled);
  t.deepEqual(attemptedBackends(world), [used]);
});

test('a stream is resumed only in its allowed regions', (t) => {
  const route = routeOf({ kind: 'stream', isResumable: true, maxAttempts: 3, maxPauseMs: 500 });
  const world = worldOf(regionsOf({ r: ['a'] }), ['w', { zone: 'a1' }], ['far', { zone: 'b1' }]);
  const { reply } = world.request({ route });
  const [{ handlers }] = world.attempts as [(typeof world.attempts)[number]];
  handlers.onHead({
    status: 200,
    rawHeaders: [],
    headers: { 'content-type': 'text/event-stream' },
  });
  handlers.onData(Buffer.from('id: 1\ndata: x\n\n'));
  handlers.onFailure({ mayHaveRun: true, isPortClosed: false, detail: 'reset' });
  t.deepEqual(attemptedBackends(world), ['w']);
  t.true(reply.isAborted);
});

test('a request whose route and tenant have no common region is refused at once and not sent', (t) => {
  const world = worldOf(regionsOf({ r: ['a'] }, { t: ['b'] }), ['w', { zone: 'a1' }]);
  const { reply } = world.request({ tenant: headerValue('t') });
  t.is(reply.status, 503);
  t.is(world.requestEnds[0]?.reason, 'no-common-home');
  // One third of the caller's deadline of two seconds.
  t.is(Math.floor(Number(reply.headers[1])), 666);
  t.deepEqual(world.attempts, []);
});

test('a request without a usable backend in its allowed regions is refused at once and not sent elsewhere', (t) => {
  const restrictions = regionsOf({ r: ['a'] });
  const worlds = [
    worldOf(restrictions, ['far', { zone: 'b1' }]),
    // One in a zone that the settings do not name, and one without a zone.
    worldOf(restrictions, ['lost', { zone: 'x' }], ['bare', { zone: '' }]),
    worldOf(restrictions, ['drained', { zone: 'a1', state: 'draining' }], ['far', { zone: 'b1' }]),
    worldOf(regionsOf({ r: ['unheard-of'] }), ['far', { zone: 'b1' }], ['lost', { zone: 'x' }]),
  ];
  for (const world of worlds) {
    const { reply } = world.request();
    t.is(reply.status, 503);
    t.is(world.requestEnds[0]?.reason, 'no-backend-at-home');
    t.deepEqual(world.attempts, []);
  }
});

test('a request is refused at once if all zones of its allowed regions are evacuated', (t) => {
  const world = worldOf(regionsOf({ r: ['a'] }), ['w', { zone: 'a1' }], ['far', { zone: 'b1' }]);
  world.evacuatedZones.add('a1');
  world.request();
  t.is(world.requestEnds[0]?.reason, 'no-backend-at-home');
  t.deepEqual(world.attempts, []);
});

test('a waiting request is refused soon after its allowed regions lost their last backend', async (t) => {
  const world = worldOf(
    regionsOf({ r: ['a', 'b'] }),
    ['w', { zone: 'a1', slots: 1 }],
    ['far', { zone: 'b1', slots: 1 }],
  );
  world.request();
  world.request();
  world.request();
  world.restrictions = regionsOf({ r: ['c'] });
  await world.clock.runUntil(world.clock.now() + 150);
  t.is(world.requestEnds[0]?.reason, 'no-backend-at-home');
  t.is(world.attempts.length, 2);
});

test('fallbacks to unassigned, ejected and unlisted backends stay in the allowed regions', (t) => {
  const restrictions = regionsOf({ r: ['a'] });
  const ejected = worldOf(restrictions, ['w', { zone: 'a1' }], ['far', { zone: 'b1' }]);
  for (let count = 0; count < 20; count += 1) {
    ejected.dispatcher.finish('w', 'failed', 0);
  }
  t.true(ejected.directory.find('w')!.health.isEjected(0));
  ejected.request();
  t.deepEqual(attemptedBackends(ejected), ['w']);
  const unassigned = worldOf(restrictions, ['w', { zone: 'a1' }], ['far', { zone: 'b1' }]);
  unassigned.directory.find('w')!.isInSubset = false;
  unassigned.request();
  t.deepEqual(attemptedBackends(unassigned), ['w']);
  const unlisted = worldOf(restrictions, ['w', { zone: 'a1' }], ['far', { zone: 'b1' }]);
  unlisted.dispatcher.updateBackend('far', undefined, 0);
  unlisted.dispatcher.updateBackend('w', undefined, 0);
  unlisted.request();
  t.deepEqual(attemptedBackends(unlisted), ['w']);
});

test('a failure at the only backend in the allowed regions is final and uses no retry', (t) => {
  const world = worldOf(regionsOf({ r: ['a'] }), ['w', { zone: 'a1' }], ['far', { zone: 'b1' }]);
  const { reply } = world.request();
  world.attempts[0]!.handlers.onFailure({ mayHaveRun: true, isPortClosed: false, detail: '' });
  t.is(reply.status, 502);
  t.is(world.repeatsLeft, 10);
});

test('when allowed regions of waiting requests change, only agents in them are sent the demand', (t) => {
  const world = worldOf(
    regionsOf({ r: ['a', 'b'] }),
    ['near', { zone: 'a1', slots: 1 }],
    ['far', { zone: 'b1', slots: 1 }],
  );
  world.engines = true;
  world.dispatcher.connectAgent('near', 0);
  world.dispatcher.connectAgent('far', 0);
  for (let count = 0; count < 3; count += 1) {
    world.request();
  }
  world.agentMessages.length = 0;
  world.restrictions = regionsOf({ r: ['a'] });
  world.dispatcher.tick(world.clock.now());
  const sent = world.agentMessages.flatMap(([to, message]) =>
    message.kind === 'demand' ? [[to, message.ranks[0]?.allowedRegions]] : [],
  );
  t.deepEqual(sent, [
    ['near', ['a']],
    ['far', undefined],
  ]);
});

test('a gateway is assigned a few engines in each configured region, whatever its own zone', (t) => {
  const engines = Array.from({ length: 60 }, (_, index) => ({
    id: `w${index}`,
    zone: index < 40 ? 'b1' : 'a1',
  }));
  const regionOf = (zone: string) => REGIONS.get(zone);
  const chosen = new Set(['w0', 'w41']);
  addEnginesOfNamedRegions(chosen, engines, 'g', { named: new Set(['a', 'c']), regionOf });
  const inRegion = [...chosen].filter((id) => Number(id.slice(1)) >= 40);
  t.is(inRegion.length, 4);
  t.true(inRegion.includes('w41'));
  t.is(chosen.size, 5);
});

test('the directory assigns engines in the regions that a configuration allows', (t) => {
  const world = worldOf(regionsOf({ r: ['a'] }));
  world.engines = true;
  world.regions.set('z', 'b');
  for (let index = 0; index < 60; index += 1) {
    const id = `w${index}`;
    world.dispatcher.updateBackend(id, backendOf(id, { zone: index < 40 ? 'z' : 'a1' }), 0);
  }
  const assigned = world.directory.list().filter(({ isInSubset }) => isInSubset);
  t.is(assigned.filter(({ backend }) => backend.zone === 'a1').length, 4);
});

test('admission picks a service that has a backend in the allowed regions', (t) => {
  const route = routeOf({
    allowedRegions: ['a'],
    services: [
      { service: 'abroad', weight: 99 },
      { service: 'home', weight: 1 },
      { service: 'unused', weight: 0 },
    ],
  });
  const limits = DEFAULT_CALLER_LIMITS;
  const table = new RoutingTable({
    version: 1,
    routes: [route],
    services: [],
    tenants: [],
    limits,
  });
  const random = new SeededRandom(1);
  const admission = new RequestAdmission(random, {
    canServe: (service) => service !== 'abroad',
  });
  const head = { host: 'a.example', path: '/a/', method: 'GET', headers: {}, rawHeaders: [] };
  const caller = {
    requestId: headerValue('q'),
    deadlineMs: undefined,
    apiKey: undefined,
    tokens: undefined,
    sharedPromptParts: [],
    lastEventId: undefined,
    resumedRequestId: undefined,
    reservedHeaders: [],
  };
  const received = { head, caller, body: Buffer.alloc(0), arrivedAtMs: 0 };
  t.is(admission.admit(received, table).unwrap().service, 'home');
});

const regions = fc.option(fc.subarray(['a', 'b', 'c'], { minLength: 1 }), { nil: null });
/** One step of a random run. */
const step = fc.oneof(
  fc.record({ kind: fc.constant('request' as const), hasTenant: fc.boolean() }),
  fc.record({ kind: fc.constant('configure' as const), route: regions, tenant: regions }),
  fc.record({ kind: fc.constant('drop' as const) }),
  fc.record({ kind: fc.constant('end' as const), index: fc.nat(9), isFailure: fc.boolean() }),
  fc.record({ kind: fc.constant('list' as const), index: fc.nat(5), isListed: fc.boolean() }),
  fc.record({ kind: fc.constant('wait' as const), forMs: fc.integer({ min: 1, max: 300 }) }),
);
/** Path of requests with a tenant, which identifies their attempts. */
const TENANT_PATH = '/a/tenant';
const FLEET = ['a1', 'a1', 'a2', 'b1', 'b1', 'x'];

test('no attempt leaves the active allowed regions under random configurations, failures and backend changes', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 60 }), async (steps) => {
      const fleet = FLEET.map((zone, index) => backendOf(`w${index}`, { zone, slots: 1 }));
      const world = worldOf(regionsOf({ r: null }, { t: null }));
      fleet.forEach((backend) => world.dispatcher.updateBackend(backend.id, backend, 0));
      let checked = 0;
      const check = () => {
        for (; checked < world.attempts.length; checked += 1) {
          const { backend, path } = world.attempts[checked]!;
          const tenant = path === TENANT_PATH ? 't' : undefined;
          const allowed = world.restrictions!.allowedRegionsOf({ route: 'r', tenant });
          const region = REGIONS.get(backend.zone) ?? 'nowhere';
          if (allowed !== undefined && !allowed.has(region)) {
            throw new Error(`sent to region ${region}; allowed regions: ${[...allowed].join()}`);
          }
        }
      };
      for (const action of steps) {
        if (action.kind === 'request') {
          world.request(action.hasTenant ? { tenant: headerValue('t'), path: TENANT_PATH } : {});
        } else if (action.kind === 'configure') {
          world.restrictions = regionsOf({ r: action.route }, { t: action.tenant });
          world.dispatcher.tick(world.clock.now());
        } else if (action.kind === 'drop') {
          world.restrictions = regionsOf({});
        } else if (action.kind === 'end') {
          const open = world.attempts.filter(({ isCancelled }) => !isCancelled);
          const attempt = open[action.index % Math.max(1, open.length)];
          if (attempt !== undefined) {
            attempt.isCancelled = true;
            attempt.handlers.onFailure({
              mayHaveRun: action.isFailure,
              isPortClosed: !action.isFailure,
              detail: '',
            });
          }
        } else if (action.kind === 'list') {
          const backend = fleet[action.index]!;
          const listed = action.isListed ? backend : undefined;
          world.dispatcher.updateBackend(backend.id, listed, world.clock.now());
        } else {
          await world.clock.runUntil(world.clock.now() + action.forMs);
        }
        check();
      }
    }),
    { numRuns: 200 },
  );
  t.pass();
});

test('the log entry of a request lists a bounded number of excluded backends with their reasons', (t) => {
  const restrictions = regionsOf({ r: ['a'] }, { t: ['a', 'b'] });
  const world = worldOf(restrictions, ['gone', { zone: 'a1', state: 'draining' }]);
  for (let index = 0; index < 20; index += 1) {
    const id = `w${index}`;
    world.dispatcher.updateBackend(id, backendOf(id, { zone: index === 0 ? 'x' : 'b1' }), 0);
  }
  const request = new RequestRegions({ route: 'r', tenant: 't' }, () => restrictions);
  const report = reportExcluded(request, {
    backends: world.directory.ofService('s'),
    regionOf: (zone) => REGIONS.get(zone),
    restriction: (known) =>
      world.dispatcher.restriction(
        { ...unconstrained('s'), allowedRegions: request.allowed },
        known,
      ),
  });
  t.deepEqual(report.homes, { route: ['a'], tenant: ['a', 'b'] });
  t.deepEqual(report.kept?.slice(0, 3), [
    { backend: 'gone', zone: 'a1', region: 'a', reason: 'not-ready', by: [] },
    {
      backend: 'w0',
      zone: 'x',
      region: undefined,
      reason: 'outside-home',
      by: ['route', 'tenant'],
    },
    { backend: 'w1', zone: 'b1', region: 'b', reason: 'outside-home', by: ['route'] },
  ]);
  t.is(report.kept?.length, 8);
  t.is(report.keptMore, 13);
  t.deepEqual(
    reportRegions(new RequestRegions({ route: 'q', tenant: undefined }, () => restrictions)),
    {},
  );
});
