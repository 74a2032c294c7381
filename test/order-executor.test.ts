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
const LATE_ORDER_DELAY_MS = 60_000;

/** A lease holder whose calls to the backend can be delayed, as by a pause of its process. */
class LeaseHolder {
  readDelayMs = 1;
  loadDelayMs = 1;
  readonly executor: OrderExecutor;

  constructor(
    private readonly clock: VirtualClock,
    platform: SimPlatform,
    private readonly target: OrderTarget,
    name: string,
    leaseClock: Clock = promiseDrainingClock(clock),
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
      enforcesFencing: target.enforcesFencing,
      readLoadedModel: () => this.runAfter(this.readDelayMs, () => ok(target.loaded)),
      load: (assignment, fencing) =>
        this.runAfter(this.loadDelayMs, () => target.load(assignment, fencing)),
    };
  }

  private runAfter<Value>(delayMs: number, perform: () => Value): Promise<Value> {
    return new Promise((resolve) => {
      this.clock.setTimeout(() => {
        resolve(perform());
        this.clock.markPromiseSettled();
      }, delayMs);
    });
  }
}

function createFixture(enforcesFencing: boolean) {
  const clock = new VirtualClock();
  const network = new SimNetwork(clock, new SeededRandom(1), { localMs: 1, remoteMs: 1 });
  const platform = new SimPlatform(clock, network, DEFAULT_KEY_VALUE_LIMITS, 0);
  const target = new OrderTarget(enforcesFencing);
  return { clock, platform, target };
}

/** A clock whose timers let pending promises settle after each callback, as `sleep` requires. */
function promiseDrainingClock(clock: VirtualClock): Clock {
  return {
    now: () => clock.now(),
    setTimeout: (callback, delayMs) =>
      clock.setTimeout(() => {
        callback();
        clock.markPromiseSettled();
      }, delayMs),
    clearTimeout: (handle) => clock.clearTimeout(handle),
  };
}

/** A clock frozen at 0, as seen by a process that was paused right after reading the time. */
function frozenClock(clock: VirtualClock): Clock {
  return { ...promiseDrainingClock(clock), now: () => 0 };
}

test('with fencing, the backend rejects the delayed order of a paused holder', async (t) => {
  const { clock, platform, target } = createFixture(true);
  const paused = new LeaseHolder(clock, platform, target, 'paused');
  const successor = new LeaseHolder(clock, platform, target, 'successor');
  paused.loadDelayMs = LATE_ORDER_DELAY_MS;
  const late = paused.executor.ensure(OLD);
  await clock.runUntil(20_000);
  const ordered = successor.executor.ensure(NEW);
  await clock.runUntil(LATE_ORDER_DELAY_MS + 20_000);
  t.is((await ordered).unwrap(), 'ordered');
  const outcome = await late;
  t.is(outcome.err && outcome.val.code, 'stale-order');
  t.deepEqual(target.loaded, NEW);
});

test('without fencing, the next call corrects a delayed order of a paused holder', async (t) => {
  const { clock, platform, target } = createFixture(false);
  const paused = new LeaseHolder(clock, platform, target, 'paused');
  const successor = new LeaseHolder(clock, platform, target, 'successor');
  paused.loadDelayMs = LATE_ORDER_DELAY_MS;
  void paused.executor.ensure(OLD);
  await clock.runUntil(20_000);
  const ordered = successor.executor.ensure(NEW);
  await clock.runUntil(50_000);
  t.is((await ordered).unwrap(), 'ordered');
  await clock.runUntil(LATE_ORDER_DELAY_MS + 10_000);
  t.deepEqual(target.loaded, OLD, 'without fencing, the delayed order is accepted');
  const repaired = successor.executor.ensure(NEW);
  await clock.runUntil(LATE_ORDER_DELAY_MS + 40_000);
  t.is((await repaired).unwrap(), 'ordered');
  t.deepEqual(target.loaded, NEW);
});

test('a holder paused before its lease check sends no order under the old lease', async (t) => {
  const { clock, platform, target } = createFixture(false);
  const paused = new LeaseHolder(clock, platform, target, 'paused');
  const successor = new LeaseHolder(clock, platform, target, 'successor');
  paused.readDelayMs = 30_000;
  const late = paused.executor.ensure(OLD);
  await clock.runUntil(18_000);
  void successor.executor.ensure(NEW);
  await clock.runUntil(35_000);
  const outcome = await late;
  t.is(outcome.err && outcome.val.code, 'lease-held');
  t.deepEqual(
    target.receivedOrders.filter((order) => order.assignment.version === OLD.version),
    [],
  );
});

test('with a frozen clock, the lease check lets the paused holder send its order', async (t) => {
  const { clock, platform, target } = createFixture(false);
  const paused = new LeaseHolder(clock, platform, target, 'paused', frozenClock(clock));
  const successor = new LeaseHolder(clock, platform, target, 'successor');
  paused.readDelayMs = 30_000;
  void paused.executor.ensure(OLD);
  await clock.runUntil(18_000);
  void successor.executor.ensure(NEW);
  await clock.runUntil(35_000);
  t.is(target.receivedOrders.filter((order) => order.assignment.version === OLD.version).length, 1);
});

test('without fencing, a new holder waits until the previous lease has expired', async (t) => {
  const { clock, platform, target } = createFixture(false);
  const first = new LeaseHolder(clock, platform, target, 'first');
  const successor = new LeaseHolder(clock, platform, target, 'successor');
  void first.executor.ensure(OLD);
  await clock.runUntil(16_000);
  const ordered = successor.executor.ensure(NEW);
  await clock.runUntil(16_000 + 17_900);
  t.deepEqual(target.loaded, OLD);
  await clock.runUntil(40_000);
  t.is((await ordered).unwrap(), 'ordered');
});
