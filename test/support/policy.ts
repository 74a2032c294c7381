import { parsePolicyIni } from '../../src/policy/ini-policy.js';
import type { PolicyDocument } from '../../src/policy/document.js';
import { hashApiKey } from '../../src/policy/api-key.js';

/** API key of the tenant `shop` in `SMALL_POLICY_INI`. */
export const SHOP_KEY = 'shop-key';

/** Policy with two approved engines, one general engine and one non-repeatable plain service. */
export const SMALL_POLICY_INI = `
[label.class]
values = invoice, lookup, ledger
[label.clearance]
values = approved, general
[label.state]
values = serving, drained
[place.hall-a]
label.clearance = approved
[place.hall-b]
label.clearance = general
[engine.a-1]
place = hall-a
models = risk
label.state = serving
[engine.a-2]
place = hall-a
models = risk
label.state = serving
[engine.b-1]
place = hall-b
models = risk
label.state = serving
[engine.ledger-1]
place = hall-a
models = ledger
[model.risk]
[model.ledger]
repeatable = false
[tenant.shop]
keys = ${hashApiKey(SHOP_KEY, 'ab12')}
maxConcurrent = 1000
[selector.drained]
effect = deny
engine.state = drained
[selector.invoices]
effect = allow
priority = 10
tier = 1
data.class = invoice
place.clearance = approved
[selector.lookups]
effect = allow
tier = 3
data.class = lookup
[selector.ledger]
effect = allow
tier = 1
model.name = ledger
data.class = ledger
place.clearance = approved
`;

/** Returns `SMALL_POLICY_INI` as a policy document. */
export function smallPolicy(): PolicyDocument {
  return parsePolicyIni(SMALL_POLICY_INI).unwrap();
}
