/**
 * Schema of the policy document: the named entries that operators declare.
 *
 * Changes and conflict detection work per entry: concurrent changes to different entries all
 * succeed.
 */
import { z } from 'zod';
import { HIGHEST_TIER, LOWEST_TIER } from '../request/tier.js';

const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and "-"');
const LABELS = z.record(NAME, z.string().min(1).max(100)).default({});
const MAX_CONCURRENT_LIMIT = 1_000_000;

/** Schema of a label declaration: the values allowed for one label key. */
export const labelKeySchema = z.strictObject({
  kind: z.literal('label'),
  values: z.array(z.string().min(1)).min(1),
});

/** Schema of a place: a data hall that hosts engines. */
export const placeSchema = z.strictObject({ kind: z.literal('place'), labels: LABELS });

/** Schema of a backend: a model engine or a plain service, each with an agent as its sidecar. */
export const engineSchema = z.strictObject({
  kind: z.literal('engine'),
  place: NAME,
  models: z.array(NAME).min(1),
  labels: LABELS,
});

/** Schema of a model, or of a plain service, which requests address in the same way. */
export const modelSchema = z.strictObject({
  kind: z.literal('model'),
  labels: LABELS,
  /** False for a plain service whose requests must not be retried (at-most-once execution). */
  repeatable: z.boolean().default(true),
});

/** Schema of a tenant: its API keys as salted hashes, and its limits. */
export const tenantSchema = z.strictObject({
  kind: z.literal('tenant'),
  labels: LABELS,
  /** `salt:hex(sha256(salt + key))`. */
  keys: z.array(z.string().regex(/^[0-9a-f]+:[0-9a-f]{64}$/)).default([]),
  /** Weight for fair queueing among the tenants of a tier. */
  weight: z.number().positive().default(1),
  /** Maximum number of concurrent requests of the tenant at one entry process. */
  maxConcurrent: z.number().int().positive().max(MAX_CONCURRENT_LIMIT).default(10_000),
});

const CONDITIONS = z.record(NAME, z.array(z.string().min(1)).min(1)).default({});

/** Schema of a selector: a rule that allows or denies requests on engines and assigns a tier. */
export const selectorSchema = z.strictObject({
  kind: z.literal('selector'),
  effect: z.enum(['allow', 'deny']),
  /** The matching allow selector with the highest priority determines the tier. */
  priority: z.number().int().default(0),
  tier: z.number().int().min(HIGHEST_TIER).max(LOWEST_TIER).default(LOWEST_TIER),
  tenant: CONDITIONS,
  model: CONDITIONS,
  data: CONDITIONS,
  engine: CONDITIONS,
  place: CONDITIONS,
});

/** Schema of any policy entry. */
export const policyEntrySchema = z.discriminatedUnion('kind', [
  labelKeySchema,
  placeSchema,
  engineSchema,
  modelSchema,
  tenantSchema,
  selectorSchema,
]);

/** Any policy entry. */
export type PolicyEntry = z.infer<typeof policyEntrySchema>;
/** Discriminator of policy entries. */
export type PolicyEntryKind = PolicyEntry['kind'];
/** A label declaration. */
export type LabelKeyEntry = z.infer<typeof labelKeySchema>;
/** A data hall that hosts engines. */
export type PlaceEntry = z.infer<typeof placeSchema>;
/** A model engine or plain service, with the models that it serves. */
export type EngineEntry = z.infer<typeof engineSchema>;
/** A model or plain service that requests can address. */
export type ModelEntry = z.infer<typeof modelSchema>;
/** A tenant with its API key hashes and limits. */
export type TenantEntry = z.infer<typeof tenantSchema>;
/** A rule that allows or denies requests on engines. */
export type SelectorEntry = z.infer<typeof selectorSchema>;
/** Allowed values by label key, or by `name` for the entry name; all keys must match. */
export type Conditions = SelectorEntry['tenant'];

/** Key of an entry in the form `kind.name`, for example `engine.hall-a-1`. */
export type EntryName = string;

/** Policy entries by entry name. */
export type PolicyDocument = Readonly<Record<EntryName, PolicyEntry>>;

/** Returns the entry name `kind.name`. */
export function entryName(kind: PolicyEntryKind, name: string): EntryName {
  return `${kind}.${name}`;
}

/** Returns the entries of one kind as `[name, entry]` pairs, sorted by name. */
export function entriesOfKind<Kind extends PolicyEntryKind>(
  document: PolicyDocument,
  kind: Kind,
): Array<[string, Extract<PolicyEntry, { kind: Kind }>]> {
  const prefix = `${kind}.`;
  return Object.keys(document)
    .filter((name) => name.startsWith(prefix))
    .sort()
    .map((name) => [
      name.slice(prefix.length),
      document[name] as Extract<PolicyEntry, { kind: Kind }>,
    ]);
}
