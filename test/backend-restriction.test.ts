import test from 'ava';
import * as fc from 'fast-check';
import { decodeRecord } from '../platform/record-formats.js';
import { commonRegions, restrictionOf } from '../src/routing/backend-restriction.js';
import { Places } from '../src/routing/places.js';
import { ZoneEvacuations } from '../src/routing/zone-evacuations.js';
import { EngineKnowledge } from '../src/slot-agent/engine-knowledge.js';
import { backendOf, GatewayWorld } from './support/gateway.js';
import { at } from './support/positions.js';

const PLACES = new Places(
  new Map([
    ['a1', 'a'],
    ['a2', 'a'],
    ['b1', 'b'],
  ]),
);

test('places tell how far zones are apart; an unknown zone is far from all but itself', (t) => {
  t.is(PLACES.distance('a1', 'a1'), 'same-zone');
  t.is(PLACES.distance('a1', 'a2'), 'same-region');
  t.is(PLACES.distance('a1', 'b1'), 'other-region');
  t.is(PLACES.distance('a1', 'x'), 'other-region');
  t.is(PLACES.distance('x', 'y'), 'other-region');
  t.false(PLACES.isKnown('x'));
});

test('each reason keeps a request from a back end, and an unknown region is no home', (t) => {
  const rules = {
    isEvacuated: (zone: string) => zone === 'a2',
    regionOf: (zone: string) => PLACES.regionOf(zone),
    versionUse: () => 'open' as const,
  };
  const home = new Set(['a']);
  t.is(restrictionOf(backendOf('w', { zone: 'a1' }), home, rules), undefined);
  t.is(restrictionOf(backendOf('w', { zone: 'a2' }), undefined, rules), 'zone-evacuated');
  t.is(restrictionOf(backendOf('w', { zone: 'b1' }), home, rules), 'outside-home');
  t.is(restrictionOf(backendOf('w', { zone: 'x' }), home, rules), 'outside-home');
  t.is(restrictionOf(backendOf('w', { zone: 'x' }), undefined, rules), undefined);
  const closed = { ...rules, versionUse: () => 'closed' as const };
  t.is(restrictionOf(backendOf('w', { zone: 'a1' }), undefined, closed), 'version-closed');
});

test('both lists of regions bind', (t) => {
  t.is(commonRegions(undefined, undefined), undefined);
  t.deepEqual(commonRegions(['a'], undefined), new Set(['a']));
  t.deepEqual(commonRegions(['a', 'b'], ['b', 'c']), new Set(['b']));
  t.deepEqual(commonRegions(['a'], ['b']), new Set());
});

test('the newest order of a zone holds, in whatever order and however often the news comes', (t) => {
  const news = fc.array(fc.record({ revision: fc.integer({ min: 1, max: 9 }) }), { minLength: 1 });
  fc.assert(
    fc.property(news, (changes) => {
      const evacuations = new ZoneEvacuations();
      for (const { revision } of changes) {
        evacuations.take({ zone: 'z', isOrdered: revision % 2 === 1, ...at(revision) }, 0);
      }
      const newest = Math.max(...changes.map(({ revision }) => revision));
      return evacuations.isEvacuated('z') === (newest % 2 === 1);
    }),
  );
  t.pass();
});

test('an order and its removal are read from the store', (t) => {
  const key = 'op/evacuate/a1';
  t.deepEqual(decodeRecord({ key, ...at(4), value: '{}' }), {
    kind: 'evacuation',
    change: { zone: 'a1', isOrdered: true, ...at(4) },
  });
  t.deepEqual(decodeRecord({ key, ...at(5), value: undefined }), {
    kind: 'evacuation',
    change: { zone: 'a1', isOrdered: false, ...at(5) },
  });
});

test('an order whose value cannot be read is one all the same; one without a zone is refused, not as a configuration', (t) => {
  const order = { ...at(4), value: 'not { JSON' };
  t.is(decodeRecord({ key: 'op/evacuate/a1', ...order }).kind, 'evacuation');
  const refused = decodeRecord({ key: 'op/evacuate/', ...order });
  t.like(refused, { kind: 'invalid', isConfiguration: false });
  t.like(decodeRecord({ key: 'op/config', ...order }), { kind: 'invalid', isConfiguration: true });
});

test('a gateway sends nothing to an evacuated zone, nor outside the regions that a request allows', (t) => {
  const world = new GatewayWorld(
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

test('an agent knows from its own replica what may not be sent to its engine', (t) => {
  const engine = new EngineKnowledge({ address: '1.2.3.4:5', zone: 'a1' }, PLACES);
  t.is(engine.restriction(undefined), undefined);
  t.is(engine.restriction(new Set(['b'])), 'outside-home');
  engine.take({ kind: 'evacuation', change: { zone: 'a1', isOrdered: true, ...at(3) } }, 0);
  engine.take({ kind: 'evacuation', change: { zone: 'a1', isOrdered: false, ...at(2) } }, 0);
  t.is(engine.restriction(undefined), 'zone-evacuated');
  engine.take({ kind: 'evacuation', change: { zone: 'a1', isOrdered: false, ...at(4) } }, 0);
  t.is(engine.restriction(undefined), undefined);
});
