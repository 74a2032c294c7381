import test from 'ava';
import { runModelCheck } from '../src/sim/model-check.js';
import type { PolicyDocument } from '../src/policy/document.js';
import { smallPolicy } from './support/policy.js';

const STEPS = 40;
const REORDERED_STEPS = 24;

function policyWithTwoLedgerEngines(): PolicyDocument {
  const engine = {
    kind: 'engine' as const,
    place: 'hall-a',
    models: ['ledger'],
    labels: {},
  };
  return { ...smallPolicy(), 'engine.agent-0': engine, 'engine.agent-1': engine };
}

test('no model check case violates the bind, claim or graceful shutdown guarantees', (t) => {
  const { caseCount, failedCases } = runModelCheck(
    policyWithTwoLedgerEngines(),
    STEPS,
    REORDERED_STEPS,
  );
  t.deepEqual(failedCases.slice(0, 3), []);
  t.is(caseCount, (7 * STEPS + 1) * (REORDERED_STEPS + 1));
});

test('the model check detects a double bind and a wrong "not run" refusal', (t) => {
  const doubleBind = runModelCheck(policyWithTwoLedgerEngines(), 2, 2, {
    transformEntryEffects: (effects) =>
      effects.flatMap((effect) =>
        effect.kind === 'send' && effect.message.kind === 'bind'
          ? [effect, { ...effect, peer: effect.peer === 'agent-0' ? 'agent-1' : 'agent-0' }]
          : [effect],
      ),
  });
  t.true(doubleBind.failedCases.length > 0);
  const wrongRefusal = runModelCheck(policyWithTwoLedgerEngines(), STEPS, 0, {
    transformEntryEffects: (effects) =>
      effects.map((effect) =>
        effect.kind === 'refuse'
          ? { ...effect, refusal: { ...effect.refusal, ran: 'no' as const } }
          : effect,
      ),
  });
  t.true(wrongRefusal.failedCases.length > 0);
});
