/** Backend records of other writers: incomplete or implausible ones, among those of the backend. */
import fc from 'fast-check';
import test from 'ava';
import { decodeRecord } from '../platform/record-formats.js';
import { GatewayBackends } from '../src/gateway/gateway-backends.js';
import type { GatewayBackendsDependencies } from '../src/gateway/gateway-backends.js';
import { EngineReplicaView } from '../src/slot-agent/engine-replica-view.js';
import { ZoneTopology } from '../src/routing/zone-topology.js';
import { GatewayHarness, routeOf } from './support/gateway-harness.js';
import { positionAt } from './support/store-positions.js';

const RECORD = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldRemainingMs: 0,
  sequence: 1,
  born: 1_000,
};
const WITHOUT_START = { ...RECORD, born: undefined };
const DAY_MS = 86_400_000;
const LEAVING = {
  statement: { isLeaving: true, unreadable: [] },
  sentAtMs: 0,
  isTurnedAway: false,
};
const FAR_FUTURE_MS = Date.UTC(2200, 0, 1);
const STATES = ['ready', 'draining'] as const;

type Repair = (record: object) => object;
const AS_READ: Repair = (record) => record;

/** A gateway and the backend's agent, which read records of the backend `w` from the store. */
class RecordReaders {
  readonly gateway = new GatewayHarness();
  readonly ended: string[] = [];
  readonly problems: string[] = [];
  readonly agent = new EngineReplicaView(
    { address: RECORD.address, zone: 'z' },
    new ZoneTopology(new Map()),
  );
  private readonly backends: GatewayBackends;
  private revision = 0;

  constructor(
    /** Fault: changes a record before it is decoded. */
    private readonly repair = AS_READ,
  ) {
    const { dispatcher, clock } = this.gateway;
    const dependencies = {
      dispatcher,
      clock,
      unknownZones: { recordIfUnknown: () => false },
      log: { write: () => undefined },
      refused: {
        clear: () => undefined,
        report: (_name: string, problem: string) => this.problems.push(problem),
      },
      onIncarnationEnded: (backendId: string) => this.ended.push(backendId),
    };
    this.backends = new GatewayBackends(dependencies as unknown as GatewayBackendsDependencies);
  }

  read(record: object, name = 'w'): void {
    this.revision += 1;
    const position = positionAt(this.revision);
    const value = JSON.stringify(this.repair(record));
    const decoded = decodeRecord({ key: `servers/${name}`, ...position, value });
    this.agent.apply(decoded, this.revision);
    if (decoded.kind === 'backend') {
      this.backends.applyRecord(decoded, position);
    }
  }

  find(backendId: string) {
    return this.gateway.directory.find(backendId);
  }

  readyIds(): string[] {
    return this.gateway.directory
      .list()
      .filter(({ isReady }) => isReady)
      .map(({ backend }) => backend.id);
  }
}

for (const state of STATES) {
  test(`records without a start time, ${state}, do not make a leaving backend usable again`, (t) => {
    const readers = new RecordReaders();
    readers.read(RECORD);
    const { condition } = readers.find('w@1000')!;
    condition.applyStatement(LEAVING, 1);
    readers.read({ ...RECORD, state: 'draining', sequence: 2 });
    for (const sequence of [3, 4, 9, 10]) {
      readers.read({ ...WITHOUT_START, state, sequence });
      t.deepEqual([readers.readyIds(), readers.agent.backend], [[], undefined]);
    }
    t.is(readers.find('w'), undefined);
    t.deepEqual(readers.ended, []);
    t.regex(readers.problems.at(-1)!, /no start time/);
    readers.read({ ...RECORD, sequence: 3 });
    t.true(readers.find('w@1000')!.isDraining);
    t.is(readers.find('w@1000')!.condition, condition);
  });
}

test('a record without a start time ends no request of the backend that lives', (t) => {
  const readers = new RecordReaders();
  const { gateway } = readers;
  readers.read(RECORD);
  const { reply } = gateway.request({ route: routeOf({ kind: 'unsafe' }) });
  readers.read(WITHOUT_START);
  readers.read({ ...RECORD, sequence: 2 });
  t.deepEqual(readers.readyIds(), ['w@1000']);
  t.is(readers.find('w@1000')!.outstanding, 1);
  gateway.answer(0, 200, 'good');
  t.is(reply.body, 'good');
  t.deepEqual([readers.ended, gateway.crashes.length], [[], 0]);
});

test('a backend whose record another writer replaced is not cold when it writes again', async (t) => {
  const readers = new RecordReaders();
  readers.gateway.directory.endInitialListing();
  readers.read(RECORD);
  const { cold } = readers.find('w@1000')!;
  const before = cold.currentPeriod(3_000, undefined, 0);
  for (const record of [WITHOUT_START, { ...RECORD, slots: 'many' }]) {
    readers.read(record);
    await readers.gateway.clock.runUntil(readers.gateway.clock.now() + 1_000);
    readers.read({ ...RECORD, sequence: 2 });
    t.deepEqual(cold.currentPeriod(3_000, undefined, 0), before);
  }
});

test('a record without a start time that is read first does not count as an ended backend', (t) => {
  const readers = new RecordReaders();
  const { gateway } = readers;
  readers.read(WITHOUT_START);
  const { reply } = gateway.request({ route: routeOf({ kind: 'unsafe' }) });
  readers.read(RECORD);
  t.deepEqual(readers.readyIds(), ['w@1000']);
  t.deepEqual(readers.ended, []);
  gateway.answer(0, 200, 'good');
  t.is(reply.body, 'good');
});

test('a backend that never announced a start time stays usable', (t) => {
  const readers = new RecordReaders();
  for (const sequence of [1, 2, 3]) {
    readers.read({ ...WITHOUT_START, sequence });
    t.deepEqual([readers.readyIds(), readers.agent.backend?.id], [['w'], 'w']);
  }
  t.deepEqual(readers.problems, []);
});

test('a sound record under a new name at the address of a backend costs one attempt, not counted', (t) => {
  const readers = new RecordReaders();
  const { gateway } = readers;
  const route = routeOf({ kind: 'unsafe', maxAttempts: 1 });
  const other = { ...RECORD, born: 2_000 };
  readers.read(RECORD);
  const running = gateway.request({ route });
  readers.read(other, 'x');
  t.deepEqual([readers.readyIds(), readers.agent.backend?.id], [['x@2000'], 'x@2000']);
  const next = gateway.request({ route });
  t.is(gateway.attempts[1]!.backend.id, 'x@2000');
  gateway.answer(1, 421, '');
  t.deepEqual(readers.readyIds(), ['w@1000'], 'the process is not the announced one');
  t.is(gateway.attempts[2]!.backend.id, 'w@1000');
  readers.read({ ...other, sequence: 2 }, 'x');
  t.deepEqual(readers.readyIds(), ['w@1000'], 'its next record does not make it usable');
  gateway.answer(0, 200, 'first');
  gateway.answer(2, 200, 'second');
  t.deepEqual([running.reply.body, next.reply.body], ['first', 'second']);
  t.deepEqual([readers.ended, gateway.crashes.length], [[], 0]);
  readers.read({ ...RECORD, sequence: 2 });
  t.deepEqual([readers.readyIds(), readers.agent.backend?.id], [['w@1000'], 'w@1000']);
});

test('a sound record under a new name at the address of a backend yields to its next one', (t) => {
  const readers = new RecordReaders();
  readers.read(RECORD);
  readers.read({ ...RECORD, born: 2_000 }, 'x');
  readers.read({ ...RECORD, sequence: 2 });
  t.deepEqual([readers.readyIds(), readers.agent.backend?.id], [['w@1000'], 'w@1000']);
  t.deepEqual(readers.ended, []);
});

test('a sound record with a later start counts as a restart, whoever wrote it', (t) => {
  const readers = new RecordReaders();
  readers.read(RECORD);
  readers.read({ ...RECORD, born: 2_000, state: 'draining' });
  t.deepEqual(readers.ended, ['w@1000']);
  readers.read({ ...RECORD, sequence: 2 });
  t.deepEqual([readers.readyIds(), readers.agent.backend?.id], [[], 'w@2000']);
  t.regex(readers.problems.at(-1)!, /earlier start/);
  readers.read({ ...RECORD, born: 3_000 });
  t.deepEqual([readers.readyIds(), readers.agent.backend?.id], [['w@3000'], 'w@3000']);
});

test('a start time far in the future does not end the backend that lives', (t) => {
  for (const born of [FAR_FUTURE_MS, Date.now() + 2 * DAY_MS, Number.MAX_SAFE_INTEGER]) {
    const readers = new RecordReaders();
    readers.read({ ...RECORD, born });
    t.deepEqual([readers.readyIds(), readers.agent.backend], [[], undefined]);
    readers.read(RECORD);
    readers.read({ ...RECORD, born });
    t.deepEqual([readers.readyIds(), readers.agent.backend], [[], undefined]);
    readers.read({ ...RECORD, sequence: 2 });
    t.deepEqual([readers.readyIds(), readers.agent.backend?.id], [['w@1000'], 'w@1000']);
    t.deepEqual(readers.ended, []);
  }
});

/** One faulty value of a field; undefined leaves the field out. */
interface FieldFault {
  readonly field: keyof typeof RECORD;
  readonly value: unknown;
}

const FIELDS = Object.keys(RECORD) as Array<keyof typeof RECORD>;
const FAULTS: readonly FieldFault[] = [
  ...FIELDS.flatMap((field) =>
    [undefined, null, {}, [], true].map((value) => ({ field, value: value as unknown })),
  ),
  ...(['service', 'address', 'zone', 'version', 'state'] as const).map((field) => ({
    field,
    value: 7,
  })),
  ...(['slots', 'sequence', 'born', 'coldRemainingMs'] as const).flatMap((field) => [
    { field, value: '7' },
    { field, value: -1 },
    { field, value: 1e18 },
  ]),
  ...(['slots', 'sequence', 'born'] as const).map((field) => ({ field, value: 1.5 })),
  { field: 'born', value: FAR_FUTURE_MS },
  { field: 'state', value: 'resting' },
  { field: 'service', value: '' },
  { field: 'zone', value: '' },
  { field: 'address', value: 'host:80' },
];

type Step =
  | { readonly kind: 'write'; readonly isRestart: boolean; readonly state: 'ready' | 'draining' }
  | { readonly kind: 'foreign'; readonly fault: FieldFault };

function stepsWith(faults: readonly FieldFault[]) {
  const write = fc.record({
    kind: fc.constant('write' as const),
    isRestart: fc.boolean(),
    state: fc.constantFrom(...STATES),
  });
  const foreign = fc.record({
    kind: fc.constant('foreign' as const),
    fault: fc.constantFrom(...faults),
  });
  return fc.array(fc.oneof(write, foreign), { minLength: 1, maxLength: 15 });
}

/** Returns what the readers believe wrongly after the steps; undefined for nothing. */
function findProblem(steps: readonly Step[], repair: Repair = AS_READ): string | undefined {
  const readers = new RecordReaders(repair);
  const ended: string[] = [];
  let born = 1_000;
  let hasWritten = false;
  for (const [index, step] of steps.entries()) {
    let usable: string | undefined;
    let announced: string | undefined;
    if (step.kind === 'write') {
      if (step.isRestart && hasWritten) {
        ended.push(`w@${born}`);
        born += 1;
      }
      hasWritten = true;
      readers.read({ ...RECORD, born, state: step.state, sequence: index + 1 });
      announced = `w@${born}`;
      usable = step.state === 'ready' ? announced : undefined;
    } else {
      const { field, value } = step.fault;
      readers.read({ ...RECORD, born, sequence: index + 1, [field]: value });
      const isUnknownName = !hasWritten && field === 'born' && value === undefined;
      announced = usable = isUnknownName ? 'w' : undefined;
    }
    const actual = [readers.readyIds(), readers.agent.backend?.id, readers.ended];
    const expected = [usable === undefined ? [] : [usable], announced, ended];
    if (JSON.stringify(actual) !== JSON.stringify(expected)) {
      return `step ${index}: ${JSON.stringify(actual)} instead of ${JSON.stringify(expected)}`;
    }
  }
  return undefined;
}

const SEED = 11;

test('faulty records among sound ones name no backend and end none', (t) => {
  const numRuns = Number(process.env['FUZZ_RUNS'] ?? 1_000);
  fc.assert(
    fc.property(stepsWith(FAULTS), (steps) => {
      const problem = findProblem(steps);
      if (problem !== undefined) {
        throw new Error(problem);
      }
    }),
    { seed: SEED, numRuns },
  );
  t.pass();
});

for (const fault of FAULTS) {
  const { field, value } = fault;
  test(`a reader that accepts ${field} with the value ${JSON.stringify(value)} is detected`, (t) => {
    const repair: Repair = (record) => {
      const isFaulty = Object.is((record as Record<string, unknown>)[field], value);
      return isFaulty ? { ...record, [field]: RECORD[field] } : record;
    };
    const property = fc.property(
      stepsWith([fault]),
      (steps) => findProblem(steps, repair) === undefined,
    );
    t.true(fc.check(property, { seed: SEED, numRuns: 200 }).failed);
  });
}
