import anyTest from 'ava';
import { FAILING_WAITS } from './support/failing-waits.js';
import type { FailingRequest, FailingWait, WaitError } from './support/failing-waits.js';
import { swallowErrors } from './support/swallowed-errors.js';

// One test at a time: the broken variants replace methods of classes.
const test = anyTest.serial;

const ERRORS: readonly WaitError[] = ['refusal', 'exception'];
const FAILS_AT_MS = 100;
/** Time of the last response; well before the deadline of the request. */
const ANSWERED_BY_MS = 700;
const END_MS = 10_000;

/** Returns what a caller that stays connected misses; undefined if it is answered in time. */
function findMissing({ caller: { reply }, gateway }: FailingRequest): string | undefined {
  if (reply.endedAtMs === undefined) {
    return 'no response';
  }
  if (reply.isAborted || reply.status === 0 || gateway.unanswered.length > 0) {
    return 'response broken off';
  }
  return reply.endedAtMs > ANSWERED_BY_MS ? `answered after ${reply.endedAtMs} ms` : undefined;
}

async function play(
  wait: FailingWait,
  error: WaitError,
  begins: (request: FailingRequest) => () => void = () => () => undefined,
) {
  const request = wait.begin();
  const { gateway } = request;
  await gateway.clock.runUntil(FAILS_AT_MS);
  const end = begins(request);
  try {
    request.fail(error);
    await gateway.clock.runUntil(END_MS);
  } finally {
    end();
  }
  return { missing: findMissing(request), active: gateway.requests.activeCount };
}

function article(error: WaitError): string {
  return error === 'exception' ? 'an exception' : 'a refusal';
}

for (const wait of FAILING_WAITS) {
  for (const error of ERRORS) {
    test(`a request whose wait for ${wait.name} ends with ${article(error)} is answered before its deadline`, async (t) => {
      t.deepEqual(await play(wait, error), { missing: undefined, active: 0 });
    });

    test(`a gateway that swallows ${article(error)} at the end of the wait for ${wait.name} is detected`, async (t) => {
      const swallow = ({ gateway }: FailingRequest) => swallowErrors(wait, error, gateway);
      t.not((await play(wait, error, swallow)).missing, undefined);
    });
  }
}
