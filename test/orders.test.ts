import test from 'ava';
import type { Clock } from '../src/clock.js';
import { OrderExecutor } from '../src/placement/order-executor.js';
import type { OrderPort } from '../src/placement/order-port.js';
import { SeededRandom } from '../src/random.js';
import { ok } from '../src/result.js';
import { SimNetwork } from '../src/sim/sim-network.js';
import { SimKeyValueClient, SimPlatform } from '../src/sim/sim-platform.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { DEFAULT_KEY_VALUE_LIMITS } from '../src/standin/key-value-model.js';
import { OrderTarget } from '../src/standin/order-target.js';

const OLD = { model: 'm', version: '1' };
const NEW = { model: 'm', version: '2' };
const LATE_MS = 60_000;

/** A holder whose calls to the back end can be held back, as by a pause of the process. */
class Holder {
  readDelayMs = 1;
  loadDelayMs = 1;
  readonly executor: OrderExecutor;

  constructor(
    private readonly clock: VirtualClock,
    platform: SimPlatform,
    private readonly target: OrderTarget,
    name: string,
    leaseClock: Clock = drainingClock(clock),
  ) {
    const caller = {
      address: { name, zone: 'z' },
      deliver: (callback: () => void) => callback(),
    };
    const keyValue = new SimKeyValueClient(platform, caller, 1_000);
    this.executor = new OrderExecutor(keyValue, this.createPort(), leaseClock, 'orders/e', name);
  }

  private createPort(): OrderPort {
    const { target } = this;
    return {
      checksFencing: target.checksFencing,
      readLoaded: () => this.after(this.readDelayMs, () => ok(target.loaded)),
      load: (assignment, fencing) =>
        this.after(this.loadDelayMs, () => target.load(assignment, fencing)),
    };
  }

  private after<Value>(delayMs: number, perform: () => Value): Promise<Value> {
    return new Promise((resolve) => {
      this.clock.setTimeout(() => {
        resolve(perform());
        this.clock.notePromise();
      }, delayMs);
    });
  }
}

function createWorld(checksFencing: boolean) {
  const clock = new VirtualClock();
  const network = new SimNetwork(clock, new SeededRandom(1), { localMs: 1, remoteMs: 1 });
  const platform = new SimPlatform(clock, network, DEFAULT_KEY_VALUE_LIMITS, 0);
  const target = new OrderTarget(checksFencing);
  return { clock, platform, target };
}

/** A clock whose timers settle promises, as `sleep` does. */
function drainingClock(clock: VirtualClock): Clock {
  return {
    now: () => clock.now(),
    setTimeout: (callback, delayMs) =>
      clock.setTimeout(() => {
        callback();
        clock.notePromise();
      }, delayMs),
    clearTimeout: (handle) => clock.clearTimeout(handle),
  };
}

/** The clock as a process has it that was paused right after it looked. */
function stoppedClock(clock: VirtualClock): Clock {
  return { ...drainingClock(clock), now: () => 0 };
}

test('a back end that checks refuses the late order of a paused holder', async (t) => {
  const { clock, platform, target } = createWorld(true);
  const paused = new Holder(clock, platform, target, 'paused');
  const successor = new Holder(clock, platform, target, 'successor');
  paused.loadDelayMs = LATE_MS;
  const late = paused.executor.ensure(OLD);
  await clock.runUntil(20_000);
  const ordered = successor.executor.ensure(NEW);
  await clock.runUntil(LATE_MS + 20_000);
  t.is((await ordered).unwrap(), 'ordered');
  const outcome = await late;
  t.is(outcome.err && outcome.val.code, 'stale-order');
  t.deepEqual(target.loaded, NEW);
});

test('without a check the late order comes through and is put right at the next call', async (t) => {
  const { clock, platform, target } = createWorld(false);
  const paused = new Holder(clock, platform, target, 'paused');
  const successor = new Holder(clock, platform, target, 'successor');
  paused.loadDelayMs = LATE_MS;
  void paused.executor.ensure(OLD);
  await clock.runUntil(20_000);
  const ordered = successor.executor.ensure(NEW);
  await clock.runUntil(50_000);
  t.is((await ordered).unwrap(), 'ordered');
  await clock.runUntil(LATE_MS + 10_000);
  t.deepEqual(target.loaded, OLD, 'this is what stays possible');
  const repaired = successor.executor.ensure(NEW);
  await clock.runUntil(LATE_MS + 40_000);
  t.is((await repaired).unwrap(), 'ordered');
  t.deepEqual(target.loaded, NEW);
});

test('a holder that was paused before it looked at its lease sends nothing under the old one', async (t) => {
  const { clock, platform, target } = createWorld(false);
  const paused = new Holder(clock, platform, target, 'paused');
  const successor = new Holder(clock, platform, target, 'successor');
  paused.readDelayMs = 30_000;
  const late = paused.executor.ensure(OLD);
  await clock.runUntil(18_000);
  void successor.executor.ensure(NEW);
  await clock.runUntil(35_000);
  const outcome = await late;
  t.is(outcome.err && outcome.val.code, 'lease-held');
  t.deepEqual(
    target.received.filter((order) => order.assignment.version === OLD.version),
    [],
  );
});

test('the same pause is caught when the look at the lease is broken', async (t) => {
  const { clock, platform, target } = createWorld(false);
  const paused = new Holder(clock, platform, target, 'paused', stoppedClock(clock));
  const successor = new Holder(clock, platform, target, 'successor');
  paused.readDelayMs = 30_000;
  void paused.executor.ensure(OLD);
  await clock.runUntil(18_000);
  void successor.executor.ensure(NEW);
  await clock.runUntil(35_000);
  t.is(target.received.filter((order) => order.assignment.version === OLD.version).length, 1);
});

test('a successor waits out the lease before it where the back end does not check', async (t) => {
  const { clock, platform, target } = createWorld(false);
  const first = new Holder(clock, platform, target, 'first');
  const successor = new Holder(clock, platform, target, 'successor');
  void first.executor.ensure(OLD);
  await clock.runUntil(16_000);
  const ordered = successor.executor.ensure(NEW);
  await clock.runUntil(16_000 + 17_900);
  t.deepEqual(target.loaded, OLD);
  await clock.runUntil(40_000);
  t.is((await ordered).unwrap(), 'ordered');
});
