import test from 'ava';
import { NO_QUOTA_MEMBERS } from '../src/gateway/quotas/quota-members.js';
import type {
  QuotaMembersChange,
  QuotaMembersRecord,
} from '../src/gateway/quotas/quota-members.js';
import { QuotaMembersWriter } from '../src/gateway/quotas/quota-members-writer.js';
import { MAX_ADVANCE_GRANT_MS } from '../src/gateway/quotas/quota-pools.js';
import { ok } from '../src/result.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';

const TICK_MS = 100;
const SELF = { name: 'a', zone: 'z', region: 'r', address: 'a' };
const JOINER = { name: 'b', zone: 'z', region: 'r', address: 'b' };

/** Starts a writer that ticks every .1 s; the other gateway applies each record at once. */
function startWriter(clock: VirtualClock, first: QuotaMembersRecord) {
  const written: Array<QuotaMembersChange & { readonly atMs: number }> = [];
  let record = first;
  const writer = new QuotaMembersWriter(
    SELF,
    {
      write: (_change, { epoch, revision }) => {
        clock.markPromiseSettled();
        return Promise.resolve(ok({ epoch, revision: revision + 1 }));
      },
      onWritten: (next) => {
        record = next;
        written.push({ ...(next as QuotaMembersChange), atMs: clock.now() });
      },
      knownPeers: () => [{ ...JOINER, heardAtMs: clock.now(), startedAtMs: -1e6, follows: record }],
      record: () => record,
      storeAgeMs: () => 0,
      timeOfDayMs: () => clock.now(),
    },
    clock,
  );
  const tick = () => {
    writer.tick();
    clock.setTimeout(tick, TICK_MS);
  };
  tick();
  return written;
}

/*
 * Guards against a joining gateway that serves its pools while advance grants under the previous
 * record may still be used: the settle delay must count from when all gateways have applied the
 * join, not from when the join became pending.
 */
test('a membership is settled only after advance grants under the previous one can no longer be used', async (t) => {
  const clock = new VirtualClock();
  const members = [SELF];
  const written = startWriter(clock, {
    ...NO_QUOTA_MEMBERS,
    members,
    settled: members,
    revision: 1,
  });
  await clock.runUntil(10_000);
  const [joinRecord, settledRecord] = written;
  t.deepEqual([joinRecord!.members.length, joinRecord!.settled.length], [2, 1]);
  t.deepEqual([settledRecord!.members.length, settledRecord!.settled.length], [2, 2]);
  t.true(settledRecord!.atMs - joinRecord!.atMs > MAX_ADVANCE_GRANT_MS);
});
