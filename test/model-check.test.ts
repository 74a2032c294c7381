import test from 'ava';
import { checkSmallCases } from '../src/sim/model-check.js';
import type { PolicyDocument } from '../src/policy/document.js';
import { smallPolicy } from './support/policy.js';

const STEPS = 40;
const OUT_OF_TURN_STEPS = 24;

function policyWithTwoLedgers(): PolicyDocument {
  const engine = {
    kind: 'engine' as const,
    place: 'hall-a',
    models: ['ledger'],
    labels: {},
  };
  return { ...smallPolicy(), 'engine.agent-0': engine, 'engine.agent-1': engine };
}

test('binding, claim and drain hold in every small case', (t) => {
  const { caseCount, broken } = checkSmallCases(policyWithTwoLedgers(), STEPS, OUT_OF_TURN_STEPS);
  t.deepEqual(broken.slice(0, 3), []);
  t.is(caseCount, (7 * STEPS + 1) * (OUT_OF_TURN_STEPS + 1));
});

test('the small cases catch an entry that binds twice and one that says "no" too early', (t) => {
  const twice = checkSmallCases(policyWithTwoLedgers(), 2, 2, {
    changeEntryEffects: (effects) =>
      effects.flatMap((effect) =>
        effect.kind === 'send' && effect.message.kind === 'bind'
          ? [effect, { ...effect, peer: effect.peer === 'agent-0' ? 'agent-1' : 'agent-0' }]
          : [effect],
      ),
  });
  t.true(twice.broken.length > 0);
  const early = checkSmallCases(policyWithTwoLedgers(), STEPS, 0, {
    changeEntryEffects: (effects) =>
      effects.map((effect) =>
        effect.kind === 'refuse'
          ? { ...effect, refusal: { ...effect.refusal, ran: 'no' as const } }
          : effect,
      ),
  });
  t.true(early.broken.length > 0);
});
