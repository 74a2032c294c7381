import test from 'ava';
import { FirstAttemptDeadlines } from '../src/gateway/admission/first-attempt-deadlines.js';
import { SeededRandom } from '../src/random.js';

const LONGEST_MS = 8_000;

/**
 * Adds first attempts with deadlines from `lowestShare` to 1 of the longest; returns the share
 * classified as retries.
 */
function shareClassifiedAsRetries(deadlines: FirstAttemptDeadlines, lowestShare: number): number {
  const random = new SeededRandom(1);
  let retries = 0;
  for (let index = 0; index < 400; index += 1) {
    const share = lowestShare + (1 - lowestShare) * random.next();
    retries += deadlines.timeSinceFirstAttemptMs('r', LONGEST_MS * share) > 0 ? 1 : 0;
  }
  return retries / 400;
}

test('a slightly shorter deadline is a retry if callers always send the same deadline', (t) => {
  const deadlines = new FirstAttemptDeadlines();
  t.is(shareClassifiedAsRetries(deadlines, 1), 0);
  t.is(deadlines.timeSinceFirstAttemptMs('r', LONGEST_MS - 600), 600);
  t.is(deadlines.timeSinceFirstAttemptMs('r', LONGEST_MS - 100), 0);
});

test('first attempts with varying deadlines are not classified as retries', (t) => {
  const deadlines = new FirstAttemptDeadlines();
  t.true(shareClassifiedAsRetries(deadlines, 0.85) < 0.05);
  t.true(deadlines.timeSinceFirstAttemptMs('r', LONGEST_MS * 0.6) > LONGEST_MS * 0.2);
});

test('retries among the requests do not distort the range of first attempts', (t) => {
  const deadlines = new FirstAttemptDeadlines();
  for (let index = 0; index < 128; index += 1) {
    deadlines.timeSinceFirstAttemptMs('r', index % 3 === 0 ? LONGEST_MS - 900 : LONGEST_MS);
  }
  t.is(deadlines.timeSinceFirstAttemptMs('r', LONGEST_MS - 900), 900);
});

test('routes are learned separately, and with few samples only a much shorter deadline is a retry', (t) => {
  const deadlines = new FirstAttemptDeadlines();
  shareClassifiedAsRetries(deadlines, 1);
  t.is(deadlines.timeSinceFirstAttemptMs('other', 1_000), 0);
  t.is(deadlines.timeSinceFirstAttemptMs('other', 900), 0);
  t.true(deadlines.timeSinceFirstAttemptMs('other', 400) > 0);
});
