import test from 'ava';
import * as fc from 'fast-check';
import { decodeRecord } from '../platform/record-formats.js';
import { intersectRegionLists, restrictionOf } from '../src/routing/backend-restriction.js';
import { ZoneTopology } from '../src/routing/zone-topology.js';
import { ZoneEvacuations } from '../src/routing/zone-evacuations.js';
import { EngineReplicaView } from '../src/slot-agent/engine-replica-view.js';
import { backendOf, GatewayHarness } from './support/gateway-harness.js';
import { positionAt } from './support/store-positions.js';

const PLACES = new ZoneTopology(
  new Map([
    ['a1', 'a'],
    ['a2', 'a'],
    ['b1', 'b'],
  ]),
);

test('the distance between zones follows regions; an unknown zone is remote from all others', (t) => {
  t.is(PLACES.distance('a1', 'a1'), 'same-zone');
  t.is(PLACES.distance('a1', 'a2'), 'same-region');
  t.is(PLACES.distance('a1', 'b1'), 'other-region');
  t.is(PLACES.distance('a1', 'x'), 'other-region');
  t.is(PLACES.distance('x', 'y'), 'other-region');
  t.false(PLACES.isKnown('x'));
});

test('each restriction excludes a backend, and an unknown region is never an allowed one', (t) => {
  const rules = {
    isEvacuated: (zone: string) => zone === 'a2',
    regionOf: (zone: string) => PLACES.regionOf(zone),
    versionUse: () => 'open' as const,
  };
  const allowed = new Set(['a']);
  t.is(restrictionOf(backendOf('w', { zone: 'a1' }), allowed, rules), undefined);
  t.is(restrictionOf(backendOf('w', { zone: 'a2' }), undefined, rules), 'zone-evacuated');
  t.is(restrictionOf(backendOf('w', { zone: 'b1' }), allowed, rules), 'outside-home');
  t.is(restrictionOf(backendOf('w', { zone: 'x' }), allowed, rules), 'outside-home');
  t.is(restrictionOf(backendOf('w', { zone: 'x' }), undefined, rules), undefined);
  const closed = { ...rules, versionUse: () => 'closed' as const };
  t.is(restrictionOf(backendOf('w', { zone: 'a1' }), undefined, closed), 'version-closed');
});

test('only regions in both lists are allowed', (t) => {
  t.is(intersectRegionLists(undefined, undefined), undefined);
  t.deepEqual(intersectRegionLists(['a'], undefined), new Set(['a']));
  t.deepEqual(intersectRegionLists(['a', 'b'], ['b', 'c']), new Set(['b']));
  t.deepEqual(intersectRegionLists(['a'], ['b']), new Set());
});

test('the newest order of a zone is in force, in whatever order and however often changes arrive', (t) => {
  const anyChanges = fc.array(fc.record({ revision: fc.integer({ min: 1, max: 9 }) }), {
    minLength: 1,
  });
  fc.assert(
    fc.property(anyChanges, (changes) => {
      const evacuations = new ZoneEvacuations();
      for (const { revision } of changes) {
        evacuations.apply({ zone: 'z', isOrdered: revision % 2 === 1, ...positionAt(revision) }, 0);
      }
      const newest = Math.max(...changes.map(({ revision }) => revision));
      return evacuations.isEvacuated('z') === (newest % 2 === 1);
    }),
  );
  t.pass();
});

test('an evacuation order and its removal are decoded from store records', (t) => {
  const key = 'op/evacuate/a1';
  t.deepEqual(decodeRecord({ key, ...positionAt(4), value: '{}' }), {
    kind: 'evacuation',
    change: { zone: 'a1', isOrdered: true, ...positionAt(4) },
  });
  t.deepEqual(decodeRecord({ key, ...positionAt(5), value: undefined }), {
    kind: 'evacuation',
    change: { zone: 'a1', isOrdered: false, ...positionAt(5) },
  });
});

test('an evacuation order with an unreadable value is in force; one without a zone is invalid', (t) => {
  const order = { ...positionAt(4), value: 'not { JSON' };
  t.is(decodeRecord({ key: 'op/evacuate/a1', ...order }).kind, 'evacuation');
  const refused = decodeRecord({ key: 'op/evacuate/', ...order });
  t.like(refused, { kind: 'invalid', isConfiguration: false });
  t.like(decodeRecord({ key: 'op/config', ...order }), { kind: 'invalid', isConfiguration: true });
});

test('a gateway sends nothing to an evacuated zone or outside the allowed regions of a request', (t) => {
  const world = new GatewayHarness(
    backendOf('far', { zone: 'b1' }),
    backendOf('near', { zone: 'a1' }),
  );
  world.regions.set('a1', 'a').set('b1', 'b');
  world.request({ allowedRegions: new Set(['a']) });
  world.request({ allowedRegions: new Set(['a']) });
  t.deepEqual(
    world.attempts.map(({ backend }) => backend.id),
    ['near', 'near'],
  );
  world.evacuatedZones.add('b1');
  world.request();
  t.is(world.attempts.length, 2);
});

test('an agent determines the restrictions of its engine from its own replica', (t) => {
  const engine = new EngineReplicaView({ address: '1.2.3.4:5', zone: 'a1' }, PLACES);
  t.is(engine.restriction(undefined), undefined);
  t.is(engine.restriction(new Set(['b'])), 'outside-home');
  engine.apply(
    { kind: 'evacuation', change: { zone: 'a1', isOrdered: true, ...positionAt(3) } },
    0,
  );
  engine.apply(
    { kind: 'evacuation', change: { zone: 'a1', isOrdered: false, ...positionAt(2) } },
    0,
  );
  t.is(engine.restriction(undefined), 'zone-evacuated');
  engine.apply(
    { kind: 'evacuation', change: { zone: 'a1', isOrdered: false, ...positionAt(4) } },
    0,
  );
  t.is(engine.restriction(undefined), undefined);
});
