import test from 'ava';
import { UsualDeadlines } from '../src/gateway/admission/usual-deadline.js';
import { SeededRandom } from '../src/random.js';

const LONGEST_MS = 8_000;

/** Sends first tries with deadlines between `lowestShare` and 1 of the longest; returns their share taken for returns. */
function shareTakenForReturns(deadlines: UsualDeadlines, lowestShare: number): number {
  const random = new SeededRandom(1);
  let returns = 0;
  for (let index = 0; index < 400; index += 1) {
    const share = lowestShare + (1 - lowestShare) * random.next();
    returns += deadlines.triedForMs('r', LONGEST_MS * share) > 0 ? 1 : 0;
  }
  return returns / 400;
}

test('where callers always name one deadline, a little less tells that they come back', (t) => {
  const deadlines = new UsualDeadlines();
  t.is(shareTakenForReturns(deadlines, 1), 0);
  t.is(deadlines.triedForMs('r', LONGEST_MS - 600), 600);
  t.is(deadlines.triedForMs('r', LONGEST_MS - 100), 0);
});

test('where deadlines vary from caller to caller, first tries are not taken for returns', (t) => {
  const deadlines = new UsualDeadlines();
  t.true(shareTakenForReturns(deadlines, 0.85) < 0.05);
  t.true(deadlines.triedForMs('r', LONGEST_MS * 0.6) > LONGEST_MS * 0.2);
});

test('returning requests among the others do not hide what first tries name', (t) => {
  const deadlines = new UsualDeadlines();
  for (let index = 0; index < 128; index += 1) {
    deadlines.triedForMs('r', index % 3 === 0 ? LONGEST_MS - 900 : LONGEST_MS);
  }
  t.is(deadlines.triedForMs('r', LONGEST_MS - 900), 900);
});

test('routes are learned apart, and a route of which little is known has no returns but clear ones', (t) => {
  const deadlines = new UsualDeadlines();
  shareTakenForReturns(deadlines, 1);
  t.is(deadlines.triedForMs('other', 1_000), 0);
  t.is(deadlines.triedForMs('other', 900), 0);
  t.true(deadlines.triedForMs('other', 400) > 0);
});
