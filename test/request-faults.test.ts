import test from 'ava';
import { ConfinedRequest } from '../src/gateway/attempt/confined-request.js';
import type { RequestPorts } from '../src/gateway/attempt/request-model.js';
import { DEFAULT_REQUEST_OPTIONS } from '../src/gateway/attempt/request-model.js';
import type { Route } from '../src/routing/configuration.js';
import { backendOf, GatewayHarness, RecordedReply, routeOf } from './support/gateway-harness.js';

const RESUMABLE = routeOf({
  kind: 'stream',
  isResumable: true,
  targetLatencyMs: 500,
  maxAttempts: 3,
});
const HEAD = { status: 200, rawHeaders: [], headers: {} };
const RESET_FAILURE = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';
/** Statuses that promise that the request has not run. */
const PROMISES = [408, 421, 429, 503];

/** Ports that only return a number. */
const UNWRAPPED = ['clock', 'random'];

/** Throws at one call of a port, before the port does its work or after. */
class FaultInjector {
  calls = 0;
  lastCall = '';

  constructor(
    private readonly failingCall: number,
    private readonly isBefore: boolean,
  ) {}

  /** Returns `target` with every method counted, also those of its objects in `nested`. */
  wrap<Target extends object>(target: Target, nested: readonly string[] = []): Target {
    return new Proxy(target, {
      get: (object, name) => {
        const value: unknown = Reflect.get(object, name, object);
        if (UNWRAPPED.includes(String(name))) {
          return value;
        }
        if (nested.includes(String(name))) {
          return this.wrap(value as object);
        }
        return typeof value === 'function'
          ? (...args: unknown[]) => this.call(String(name), () => value.apply(object, args))
          : value;
      },
    });
  }

  private call(name: string, work: () => unknown): unknown {
    this.calls += 1;
    const isFailing = this.calls === this.failingCall;
    // Real exceptions in `finish` come after it has released the slot.
    const isBefore = this.isBefore && name !== 'finish';
    if (isFailing) {
      this.lastCall = name;
    }
    if (isFailing && isBefore) {
      throw new Error(`injected before ${name}`);
    }
    const result = work();
    if (isFailing) {
      throw new Error(`injected after ${name}`);
    }
    return result;
  }
}

const NESTED = ['directory', 'dispatcher', 'sender', 'protocol', 'crashes'];

/** Plays a request whose ports fail at one call; its first backend breaks off. */
async function play(route: Route, failingCall: number, isBefore: boolean) {
  const world = new GatewayHarness(backendOf('a'), backendOf('b'));
  const injector = new FaultInjector(failingCall, isBefore);
  const faults: unknown[] = [];
  const { confine, ...others } = world.requestPorts;
  const wrapped = injector.wrap(others as RequestPorts, NESTED);
  const ports = { ...spread(wrapped), confine } as RequestPorts;
  const reply = new RecordedReply();
  const request = new ConfinedRequest(
    world.accept({ route }),
    reply,
    ports,
    DEFAULT_REQUEST_OPTIONS,
    (cause) => faults.push(cause),
  );
  request.begin();
  const act = (index: number, step: (handlers: (typeof world.attempts)[0]['handlers']) => void) => {
    const attempt = world.attempts[index];
    if (attempt !== undefined && !attempt.isCancelled) {
      step(attempt.handlers);
    }
  };
  act(0, ({ onHead }) => onHead(HEAD));
  act(0, ({ onData }) => onData(Buffer.from(EVENT_1)));
  act(0, ({ onFailure }) => onFailure(RESET_FAILURE));
  await world.clock.runUntil(50);
  act(1, ({ onHead }) => onHead(HEAD));
  act(1, ({ onData }) => onData(Buffer.from(EVENT_2)));
  act(1, ({ onEnd }) => onEnd());
  await world.clock.runUntil(10_000);
  return { world, reply, faults, injector };
}

/** Copies the properties of a proxy, which an object spread would read unwrapped. */
function spread(wrapped: RequestPorts): RequestPorts {
  const names = Object.keys(wrapped) as Array<keyof RequestPorts>;
  return Object.fromEntries(names.map((name) => [name, wrapped[name]])) as unknown as RequestPorts;
}

for (const [name, route] of [
  ['a resumed stream', RESUMABLE],
  ['a safe request', routeOf()],
  ['an unsafe request', routeOf({ kind: 'unsafe' })],
] as const) {
  test(`an exception at any call of a port ends ${name} alone, with a true answer and no slot kept`, async (t) => {
    for (const isBefore of [true, false]) {
      let isInjected = true;
      for (let failingCall = 1; isInjected; failingCall += 1) {
        const { world, reply, faults, injector } = await play(route, failingCall, isBefore);
        isInjected = injector.lastCall !== '';
        const where = `${isBefore ? 'before' : 'after'} call ${failingCall}: ${injector.lastCall}`;
        t.is(faults.length > 0, isInjected, where);
        t.true(reply.isEnded || reply.isAborted, where);
        const hasPromise = PROMISES.includes(reply.status);
        t.false(hasPromise && world.attempts.length > 0, where);
        for (const id of ['a', 'b']) {
          t.is(world.directory.find(id)!.outstanding, 0, `${where}: slot at ${id}`);
        }
        t.is(world.dispatcher.countWaiting('s'), 0, where);
        const { reply: next } = world.request();
        world.answer(world.attempts.length - 1, 200, 'served');
        t.is(next.body, 'served', where);
      }
    }
  });
}
