import test from 'ava';
import { RetryBudget } from '../src/gateway/admission/retry-budget.js';
import { TokenQuotas } from '../src/gateway/admission/token-quota.js';
import {
  beatTicks,
  longestBeatMs,
  PEER_TICK_MS,
  quotaSilenceMs,
} from '../src/gateway/links/beat-times.js';
import { SeededRandom } from '../src/random.js';

const SEEDS = 200;
const REGIONS = 3;
const GATEWAYS = 29;
const RUN_MS = 16_000;
const STEP_MS = 10;
const BEAT_MS = beatTicks(GATEWAYS) * PEER_TICK_MS;
const QUOTA = { ratePerS: 600_000, burst: 600_000, unit: 'tokens' as const, plainTokens: 1 };
const COST = 4_000;
const OVER = 0.1;
const SLACK = 190_000;
const WINDOW_MS = 8_000;
const RETRY = { ratio: 0.2, windowMs: 10_000, slack: 50 };

/** A region that others do not hear for some time. */
interface Cut {
  readonly region: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** When gateways that started together have heard each other. */
const ALL_HEARD_MS = 1_000;

/** The cut that a seed stands for. */
function cutOf(random: SeededRandom): Cut {
  const fromMs = ALL_HEARD_MS + Math.floor(random.next() * 8_000);
  const untilMs = fromMs + 200 + Math.floor(random.next() * 10_000);
  return { region: Math.floor(random.next() * REGIONS), fromMs, untilMs };
}

function hears({ region, fromMs, untilMs }: Cut, from: number, to: number, nowMs: number): boolean {
  const isOver = nowMs < fromMs || nowMs >= untilMs;
  return isOver || (from % REGIONS === region) === (to % REGIONS === region);
}

/** Most tokens that pass in a window while a tenant asks for nearly three times its rate everywhere. */
function worstUse(seed: number, silenceMs: number): number {
  const random = new SeededRandom(seed);
  const cut = cutOf(random);
  const options = {
    slackTokens: SLACK,
    overShare: OVER,
    silenceMs: () => silenceMs,
    forgetMs: 20_000,
  };
  const all = Array.from({ length: GATEWAYS }, () => new TokenQuotas(options, 0));
  const passed: number[] = [];
  const perStep = (2.8 * QUOTA.ratePerS * STEP_MS) / 1_000 / COST;
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
    let tokens = 0;
    for (let asked = 0; asked < perStep; asked += 1) {
      const one = all[Math.floor(random.next() * GATEWAYS)]!;
      tokens += one.take('t', QUOTA, COST, nowMs) ? COST : 0;
    }
    passed.push(tokens);
    const sender = (nowMs % BEAT_MS) / STEP_MS;
    if (sender < GATEWAYS) {
      const used = new Map(all[sender]!.use());
      all.forEach((one, index) => {
        if (index !== sender && hears(cut, sender, index, nowMs)) {
          one.hear(`g${sender}`, used, nowMs, nowMs);
        }
      });
    }
  }
  let sum = 0;
  return passed.reduce((worst, tokens, step) => {
    sum += tokens - (passed[step - WINDOW_MS / STEP_MS] ?? 0);
    return Math.max(worst, sum);
  }, 0);
}

const BOUND = (QUOTA.ratePerS * (WINDOW_MS / 1_000) + QUOTA.burst) * (1 + OVER) + SLACK;

test('a tenant stays within its quota while a region is cut off, whenever and for however long', (t) => {
  const uses = Array.from({ length: SEEDS }, (_unused, seed) =>
    worstUse(seed, quotaSilenceMs(longestBeatMs(GATEWAYS))),
  );
  t.true(Math.max(...uses) <= BOUND, `${Math.max(...uses)} of ${BOUND}`);
});

test('without a share set aside for peers that are not heard, some cut breaks the quota', (t) => {
  const uses = Array.from({ length: SEEDS }, (_unused, seed) => worstUse(seed, Infinity));
  t.true(Math.max(...uses) > BOUND);
});

test('repeats stay within their bound while regions are cut off', (t) => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const random = new SeededRandom(seed);
    const budgets = Array.from({ length: GATEWAYS }, () => new RetryBudget(RETRY));
    let requests = 0;
    let repeats = 0;
    for (let nowMs = 0; nowMs < RETRY.windowMs; nowMs += STEP_MS) {
      const budget = budgets[Math.floor(random.next() * GATEWAYS)]!;
      budget.countRequest('s', nowMs);
      requests += 1;
      // Gateways that are not heard count until they say that they leave.
      while (random.next() < 0.9 && budget.takeRepeat('s', GATEWAYS, nowMs)) {
        repeats += 1;
      }
    }
    t.true(repeats <= RETRY.ratio * requests + RETRY.slack);
  }
});
