import test from 'ava';
import { applyEdits, digestAfterEdits, findEdits, policyDigest } from '../src/policy/change.js';
import { compilePolicy } from '../src/policy/compiled-policy.js';
import { decideEligibility, findPermittedEngines } from '../src/policy/eligibility.js';
import { formatPolicyIni, parsePolicyIni } from '../src/policy/ini-policy.js';
import { PolicyReplica } from '../src/policy/replica.js';
import type { ChangeRecord, PolicyEdit } from '../src/policy/change.js';
import type { PolicyDocument } from '../src/policy/document.js';
import { SHOP_KEY, SMALL_POLICY_INI, smallPolicy } from './support/policy.js';

const INVOICE = { tenant: 'shop', model: 'risk', dataLabels: { class: 'invoice' } };

test('an invoice is permitted in approved halls only, at the tier of its selector', (t) => {
  const policy = compilePolicy(smallPolicy(), 1);
  const permitted = findPermittedEngines(policy, INVOICE);
  t.deepEqual(permitted.engines, ['a-1', 'a-2']);
  t.is(permitted.tier, 1);
  t.is(permitted.selector, 'invoices');
  t.deepEqual(decideEligibility(policy, INVOICE, 'b-1'), {
    allowed: false,
    reason: 'no-selector-allows',
  });
});

test('a denying selector wins over an allowing one of any priority', (t) => {
  const document = applyEdits(smallPolicy(), [
    {
      entry: 'engine.a-1',
      after: { kind: 'engine', place: 'hall-a', models: ['risk'], labels: { state: 'drained' } },
    },
  ]);
  const decision = decideEligibility(compilePolicy(document, 2), INVOICE, 'a-1');
  t.deepEqual(decision, { allowed: false, reason: 'denied-by-selector', selector: 'drained' });
});

test('data without labels, an unknown tenant and an unknown model are permitted nowhere', (t) => {
  const policy = compilePolicy(smallPolicy(), 1);
  for (const attributes of [
    { ...INVOICE, dataLabels: {} },
    { ...INVOICE, tenant: 'nobody' },
    { ...INVOICE, model: 'nothing' },
  ]) {
    t.deepEqual(findPermittedEngines(policy, attributes).engines, []);
  }
});

test('every problem of a policy file is named with its line', (t) => {
  const text = [
    '[label.class]',
    'values = invoice',
    '[engine.x]',
    'place = nowhere',
    'models = none',
    'label.colour = red',
    '[selector.s]',
    'effect = perhaps',
  ].join('\n');
  const parsed = parsePolicyIni(text);
  t.true(parsed.err);
  const problems = parsed.err ? parsed.val.problems : [];
  t.true(problems.some((problem) => problem.line === 7 && problem.problem.startsWith('effect')));
  const withoutSelector = parsePolicyIni(text.split('\n').slice(0, 6).join('\n'));
  const found = withoutSelector.err ? withoutSelector.val.problems.map((one) => one.problem) : [];
  t.deepEqual(found, ['unknown label "colour"', 'unknown place "nowhere"', 'unknown model "none"']);
});

test('a document survives being written and read', (t) => {
  const document = smallPolicy();
  t.deepEqual(parsePolicyIni(formatPolicyIni(document)).unwrap(), document);
  t.true(SMALL_POLICY_INI.length > 0);
});

test('the digest after edits equals the digest of the edited document', (t) => {
  const before = smallPolicy();
  const edits: PolicyEdit[] = [
    { entry: 'selector.lookups', after: null },
    { entry: 'place.hall-c', after: { kind: 'place', labels: {} } },
  ];
  const after = applyEdits(before, edits);
  t.is(digestAfterEdits(policyDigest(before), before, edits), policyDigest(after));
  t.deepEqual(findEdits(before, after).length, 2);
});

function recordOf(
  generation: number,
  before: PolicyDocument,
  edits: PolicyEdit[],
): [ChangeRecord, PolicyDocument] {
  const after = applyEdits(before, edits);
  const record: ChangeRecord = {
    changeId: `change-${generation}`,
    generation,
    author: 'test',
    atMs: 0,
    summary: '',
    edits,
    digest: policyDigest(after),
  };
  return [record, after];
}

test('a replica installs newer generations only and answers peers that are behind', (t) => {
  const first = smallPolicy();
  const [second, afterSecond] = recordOf(2, first, [{ entry: 'selector.lookups', after: null }]);
  const [third, afterThird] = recordOf(3, afterSecond, [
    { entry: 'place.hall-c', after: { kind: 'place', labels: {} } },
  ]);
  const ahead = new PolicyReplica();
  const behind = new PolicyReplica();
  const full = { form: 'full', generation: 1, document: first, recent: [] } as const;
  for (const replica of [ahead, behind]) {
    t.is(replica.install({ ...full, recent: [] }), 'installed');
  }
  t.is(ahead.install({ form: 'delta', records: [second, third] }), 'installed');
  t.is(ahead.install({ ...full, recent: [] }), 'not-newer');
  t.is(ahead.generation, 3);
  t.is(behind.install({ form: 'delta', records: [third] }), 'needs-full');
  const update = ahead.updateFor(behind.generation);
  t.is(update?.form, 'delta');
  t.is(behind.install(update!), 'installed');
  t.deepEqual(behind.policy.document, afterThird);
  t.is(ahead.updateFor(3), undefined);
});

test('a delta whose digest does not fit asks for the whole document', (t) => {
  const replica = new PolicyReplica();
  replica.install({ form: 'full', generation: 1, document: smallPolicy(), recent: [] });
  const [record] = recordOf(2, smallPolicy(), [{ entry: 'selector.lookups', after: null }]);
  const outcome = replica.install({ form: 'delta', records: [{ ...record, digest: 1 }] });
  t.is(outcome, 'needs-full');
  t.is(replica.generation, 1);
});

test('a peer that asks for everything gets the whole document, however few the changes', (t) => {
  const ahead = new PolicyReplica();
  const [first] = recordOf(1, {}, [
    { entry: 'place.hall-c', after: { kind: 'place', labels: {} } },
  ]);
  ahead.install({ form: 'delta', records: [first] });
  t.is(ahead.updateFor(0)?.form, 'full');
});

test('a tenant is found by its key; an unknown key finds nobody', (t) => {
  const replica = new PolicyReplica();
  replica.install({ form: 'full', generation: 1, document: smallPolicy(), recent: [] });
  t.is(replica.tenants.findTenant(SHOP_KEY), 'shop');
  t.is(replica.tenants.findTenant('guess'), undefined);
});
