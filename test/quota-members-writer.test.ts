import test from 'ava';
import { NO_QUOTA_MEMBERS } from '../src/gateway/quotas/quota-members.js';
import type {
  QuotaMembersChange,
  QuotaMembersRecord,
} from '../src/gateway/quotas/quota-members.js';
import { QuotaMembersWriter } from '../src/gateway/quotas/quota-members-writer.js';
import { MAX_AHEAD_MS } from '../src/gateway/quotas/quota-pools.js';
import { ok } from '../src/result.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';

const LOOK_MS = 100;
const SELF = { name: 'a', zone: 'z', region: 'r', address: 'a' };
const JOINER = { name: 'b', zone: 'z', region: 'r', address: 'b' };

/** A writer that looks every .1 s; the other gateway follows each record at once. */
function startWriter(clock: VirtualClock, first: QuotaMembersRecord) {
  const written: Array<QuotaMembersChange & { readonly atMs: number }> = [];
  let record = first;
  const writer = new QuotaMembersWriter(
    SELF,
    {
      write: (_change, { epoch, revision }) => {
        clock.notePromise();
        return Promise.resolve(ok({ epoch, revision: revision + 1 }));
      },
      onWritten: (next) => {
        record = next;
        written.push({ ...(next as QuotaMembersChange), atMs: clock.now() });
      },
      heard: () => [{ ...JOINER, heardAtMs: clock.now(), startedAtMs: -1e6, follows: record }],
      record: () => record,
      storeAgeMs: () => 0,
      timeOfDayMs: () => clock.now(),
    },
    clock,
  );
  const look = () => {
    writer.tick();
    clock.setTimeout(look, LOOK_MS);
  };
  look();
  return written;
}

/*
 * A gateway that joins began with its pools before what others had granted ahead under the former record was used: the
 * time for that was counted from when the join had become due, and not from when all had followed it.
 */
test('a record is settled only once what was granted ahead under the one before is used', async (t) => {
  const clock = new VirtualClock();
  const members = [SELF];
  const written = startWriter(clock, {
    ...NO_QUOTA_MEMBERS,
    members,
    settled: members,
    revision: 1,
  });
  await clock.runUntil(10_000);
  const [joined, settled] = written;
  t.deepEqual([joined!.members.length, joined!.settled.length], [2, 1]);
  t.deepEqual([settled!.members.length, settled!.settled.length], [2, 2]);
  t.true(settled!.atMs - joined!.atMs > MAX_AHEAD_MS);
});
