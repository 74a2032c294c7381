import test from 'ava';
import { selectSubset } from '../src/gateway/dispatch/engine-subset.js';
import type { SubsetEngine } from '../src/gateway/dispatch/engine-subset.js';
import { pairHash } from '../src/pair-hash.js';
import { ZoneTopology } from '../src/routing/zone-topology.js';
import { GatewayHarness, backendOf } from './support/gateway-harness.js';

function enginesOf(zones: number, perZone: number): SubsetEngine[] {
  return Array.from({ length: zones * perZone }, (_unused, index) => ({
    id: `e${index}`,
    zone: `z${index % zones}`,
  }));
}

const OWNER = { name: 'g1', zone: 'z0' };

test('in a small deployment all engines are selected', (t) => {
  t.is(selectSubset(enginesOf(3, 5), OWNER).size, 15);
});

test('the subset holds the engines of the local zone and two of each other zone', (t) => {
  const engines = enginesOf(4, 20);
  const chosen = engines.filter(({ id }) => selectSubset(engines, OWNER).has(id));
  t.is(chosen.filter(({ zone }) => zone === 'z0').length, 20);
  t.is(chosen.length, 20 + 3 * 2);
});

test('of a large zone only a part is selected, evenly spread over the gateways', (t) => {
  const engines = enginesOf(1, 196);
  const counts = new Map<string, number>();
  for (let index = 0; index < 37; index += 1) {
    const chosen = selectSubset(engines, { name: `g${index}`, zone: 'z0' });
    t.is(chosen.size, 32);
    for (const id of chosen) {
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  t.true(counts.size >= 190);
  t.true(Math.max(...counts.values()) <= 16);
});

test('a gateway without engines in its zone selects the minimum number from other zones', (t) => {
  t.is(selectSubset(enginesOf(4, 20), { name: 'g', zone: 'elsewhere' }).size, 16);
});

test('removing an engine changes one selection', (t) => {
  const engines = enginesOf(1, 100);
  const before = selectSubset(engines, OWNER);
  const [removed] = before;
  const after = selectSubset(
    engines.filter(({ id }) => id !== removed),
    OWNER,
  );
  t.is([...after].filter((id) => !before.has(id)).length, 1);
});

test('requests go to the engines of the subset until none of them is left', async (t) => {
  const backends = Array.from({ length: 40 }, (_unused, index) =>
    backendOf(`b${index}`, { zone: index < 20 ? 'z' : 'far', slots: 1 }),
  );
  const world = new GatewayHarness();
  world.engines = true;
  backends.forEach((backend) => world.directory.update(backend.id, backend, 0));
  const subset = new Set(
    world.directory.list().flatMap(({ backend, isInSubset }) => (isInSubset ? [backend.id] : [])),
  );
  t.is(subset.size, 22);
  await world.clock.runUntil(200);
  for (let count = 0; count < 22; count += 1) {
    world.request();
  }
  t.true(world.attempts.every(({ backend }) => subset.has(backend.id)));
  for (const id of subset) {
    world.directory.update(id, undefined, 0);
  }
  world.request();
  t.false(subset.has(world.attempts.at(-1)!.backend.id));
});

/** Six zones in three regions: z0 and z3, z1 and z4, z2 and z5. */
const REGIONS = new ZoneTopology(
  new Map(Array.from({ length: 6 }, (_unused, zone) => [`z${zone}`, `r${zone % 3}`])),
);

function distancesOf(chosen: ReadonlySet<string>, engines: readonly SubsetEngine[], zone: string) {
  return engines
    .filter(({ id }) => chosen.has(id))
    .map((engine) => REGIONS.distance(zone, engine.zone));
}

test('over several regions the subset holds the local region and a few engines of each other', (t) => {
  const engines = enginesOf(6, 6);
  const distances = distancesOf(
    selectSubset(engines, { ...OWNER, places: REGIONS }),
    engines,
    OWNER.zone,
  );
  t.is(distances.filter((distance) => distance === 'same-zone').length, 6);
  t.is(distances.filter((distance) => distance === 'same-region').length, 6);
  t.is(distances.filter((distance) => distance === 'other-region').length, 4);
});

test('over several regions each engine is in the subset of enough gateways', (t) => {
  const engines = enginesOf(6, 6);
  const near = new Map<string, number>();
  const far = new Map<string, number>();
  for (let index = 0; index < 29; index += 1) {
    const zone = `z${index % 6}`;
    const chosen = selectSubset(engines, { name: `g${index}`, zone, places: REGIONS });
    for (const engine of engines.filter(({ id }) => chosen.has(id))) {
      const isFar = REGIONS.distance(zone, engine.zone) === 'other-region';
      const counts = isFar ? far : near;
      counts.set(engine.id, (counts.get(engine.id) ?? 0) + 1);
    }
  }
  t.true(engines.every(({ id }) => (near.get(id) ?? 0) >= 9));
  t.true(engines.filter(({ id }) => far.has(id)).length >= 30);
});

test('a gateway without engines in its region selects the minimum number from others', (t) => {
  const engines = enginesOf(6, 6).filter(({ zone }) => REGIONS.regionOf(zone) !== 'r0');
  t.is(selectSubset(engines, { ...OWNER, places: REGIONS }).size, 16);
});

test('with one region, or none configured, the selection is by zone and hash alone', (t) => {
  const engines = enginesOf(5, 20);
  const oneRegion = new ZoneTopology(new Map(engines.map(({ zone }) => [zone, 'r'])));
  for (const places of [undefined, new ZoneTopology(new Map()), oneRegion]) {
    for (let index = 0; index < 20; index += 1) {
      const owner = { name: `g${index}`, zone: `z${index % 6}` };
      const taken = new Map<string, number>();
      const expected = engines
        .map((engine) => ({ ...engine, weight: pairHash(owner.name, engine.id) }))
        .sort((left, right) => left.weight - right.weight);
      const chosen = expected.filter(({ zone }) => {
        const count = taken.get(zone) ?? 0;
        taken.set(zone, count + 1);
        return count < (zone === owner.zone ? 32 : 2);
      });
      const filled = [
        ...chosen,
        ...expected.filter((engine) => !chosen.includes(engine)).slice(0, 16 - chosen.length),
      ];
      const wanted = chosen.length < 16 ? filled : chosen;
      t.deepEqual(new Set(wanted.map(({ id }) => id)), selectSubset(engines, { ...owner, places }));
    }
  }
});
