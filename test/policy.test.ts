import test from 'ava';
import { applyEdits, digestAfterEdits, diffPolicies, policyDigest } from '../src/policy/change.js';
import { compilePolicy } from '../src/policy/compiled-policy.js';
import { decideEligibility, findPermittedEngines } from '../src/policy/eligibility.js';
import { formatPolicyIni, parsePolicyIni } from '../src/policy/ini-policy.js';
import { PolicyReplica } from '../src/policy/replica.js';
import type { ChangeRecord, PolicyEdit } from '../src/policy/change.js';
import type { PolicyDocument } from '../src/policy/document.js';
import { SHOP_KEY, SMALL_POLICY_INI, smallPolicy } from './support/policy.js';

const INVOICE_REQUEST = { tenant: 'shop', model: 'risk', dataLabels: { class: 'invoice' } };

test('invoices are permitted only in approved places, at the tier of their selector', (t) => {
  const policy = compilePolicy(smallPolicy(), 1);
  const permitted = findPermittedEngines(policy, INVOICE_REQUEST);
  t.deepEqual(permitted.engines, ['a-1', 'a-2']);
  t.is(permitted.tier, 1);
  t.is(permitted.selector, 'invoices');
  t.deepEqual(decideEligibility(policy, INVOICE_REQUEST, 'b-1'), {
    allowed: false,
    reason: 'no-selector-allows',
  });
});

test('a deny selector overrides an allow selector of any priority', (t) => {
  const document = applyEdits(smallPolicy(), [
    {
      entry: 'engine.a-1',
      after: { kind: 'engine', place: 'hall-a', models: ['risk'], labels: { state: 'drained' } },
    },
  ]);
  const decision = decideEligibility(compilePolicy(document, 2), INVOICE_REQUEST, 'a-1');
  t.deepEqual(decision, { allowed: false, reason: 'denied-by-selector', selector: 'drained' });
});

test('no engine is permitted for unlabeled data, unknown tenants or unknown models', (t) => {
  const policy = compilePolicy(smallPolicy(), 1);
  for (const attributes of [
    { ...INVOICE_REQUEST, dataLabels: {} },
    { ...INVOICE_REQUEST, tenant: 'nobody' },
    { ...INVOICE_REQUEST, model: 'nothing' },
  ]) {
    t.deepEqual(findPermittedEngines(policy, attributes).engines, []);
  }
});

test('parsePolicyIni reports the problems of a policy file with the line of their section', (t) => {
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

test('a policy document is unchanged after formatting and parsing', (t) => {
  const document = smallPolicy();
  t.deepEqual(parsePolicyIni(formatPolicyIni(document)).unwrap(), document);
  t.true(SMALL_POLICY_INI.length > 0);
});

test('digestAfterEdits equals the digest of the edited document', (t) => {
  const before = smallPolicy();
  const edits: PolicyEdit[] = [
    { entry: 'selector.lookups', after: null },
    { entry: 'place.hall-c', after: { kind: 'place', labels: {} } },
  ];
  const after = applyEdits(before, edits);
  t.is(digestAfterEdits(policyDigest(before), before, edits), policyDigest(after));
  t.deepEqual(diffPolicies(before, after).length, 2);
});

function createChangeRecord(
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

test('a replica installs only newer generations and creates updates for older peers', (t) => {
  const first = smallPolicy();
  const [second, afterSecond] = createChangeRecord(2, first, [
    { entry: 'selector.lookups', after: null },
  ]);
  const [third, afterThird] = createChangeRecord(3, afterSecond, [
    { entry: 'place.hall-c', after: { kind: 'place', labels: {} } },
  ]);
  const current = new PolicyReplica();
  const outdated = new PolicyReplica();
  const full = { form: 'full', generation: 1, document: first, recent: [] } as const;
  for (const replica of [current, outdated]) {
    t.is(replica.install({ ...full, recent: [] }), 'installed');
  }
  t.is(current.install({ form: 'delta', records: [second, third] }), 'installed');
  t.is(current.install({ ...full, recent: [] }), 'not-newer');
  t.is(current.generation, 3);
  t.is(outdated.install({ form: 'delta', records: [third] }), 'needs-full');
  const update = current.updateFor(outdated.generation);
  t.is(update?.form, 'delta');
  t.is(outdated.install(update!), 'installed');
  t.deepEqual(outdated.policy.document, afterThird);
  t.is(current.updateFor(3), undefined);
});

test('a delta with a wrong digest is not installed and returns needs-full', (t) => {
  const replica = new PolicyReplica();
  replica.install({ form: 'full', generation: 1, document: smallPolicy(), recent: [] });
  const [record] = createChangeRecord(2, smallPolicy(), [
    { entry: 'selector.lookups', after: null },
  ]);
  const outcome = replica.install({ form: 'delta', records: [{ ...record, digest: 1 }] });
  t.is(outcome, 'needs-full');
  t.is(replica.generation, 1);
});

test('a peer at generation 0 gets a full update, even if it misses only one change', (t) => {
  const current = new PolicyReplica();
  const [first] = createChangeRecord(1, {}, [
    { entry: 'place.hall-c', after: { kind: 'place', labels: {} } },
  ]);
  current.install({ form: 'delta', records: [first] });
  t.is(current.updateFor(0)?.form, 'full');
});

test('findTenant returns the tenant of a key, and undefined for an unknown key', (t) => {
  const replica = new PolicyReplica();
  replica.install({ form: 'full', generation: 1, document: smallPolicy(), recent: [] });
  t.is(replica.tenants.findTenant(SHOP_KEY), 'shop');
  t.is(replica.tenants.findTenant('guess'), undefined);
});
