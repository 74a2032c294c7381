/**
 * The policy document: what operators declare, as named entries of five kinds.
 *
 * An entry is the unit of change and of conflict: two operators who change
 * different entries at the same moment both succeed.
 */
import { z } from 'zod';
import { HIGHEST_TIER, LOWEST_TIER } from '../request/tier.js';

const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and "-"');
const LABELS = z.record(NAME, z.string().min(1).max(100)).default({});
const MAX_CONCURRENT_LIMIT = 1_000_000;

/** Declares a label key and the values it may take. */
export const labelKeySchema = z.strictObject({
  kind: z.literal('label'),
  values: z.array(z.string().min(1)).min(1),
});

/** A place (a hall) where engines stand. */
export const placeSchema = z.strictObject({ kind: z.literal('place'), labels: LABELS });

/** A back end: a model engine or a plain service, beside which an agent runs. */
export const engineSchema = z.strictObject({
  kind: z.literal('engine'),
  place: NAME,
  models: z.array(NAME).min(1),
  labels: LABELS,
});

/** A model, or a plain service that requests name in the same way. */
export const modelSchema = z.strictObject({
  kind: z.literal('model'),
  labels: LABELS,
  /** False for a plain service whose calls may not be repeated. */
  repeatable: z.boolean().default(true),
});

/** A tenant, its API keys as salted hashes, and its limits. */
export const tenantSchema = z.strictObject({
  kind: z.literal('tenant'),
  labels: LABELS,
  /** `salt:hex(sha256(salt + key))`. */
  keys: z.array(z.string().regex(/^[0-9a-f]+:[0-9a-f]{64}$/)).default([]),
  /** Share of a tier against other tenants of that tier. */
  weight: z.number().positive().default(1),
  /** Most requests of the tenant that one entry holds at once. */
  maxConcurrent: z.number().int().positive().max(MAX_CONCURRENT_LIMIT).default(10_000),
});

const CONDITIONS = z.record(NAME, z.array(z.string().min(1)).min(1)).default({});

/** States which requests may (or may not) go to which engines, and at what tier. */
export const selectorSchema = z.strictObject({
  kind: z.literal('selector'),
  effect: z.enum(['allow', 'deny']),
  /** Of several allowing selectors the one with the highest priority decides the tier. */
  priority: z.number().int().default(0),
  tier: z.number().int().min(HIGHEST_TIER).max(LOWEST_TIER).default(LOWEST_TIER),
  tenant: CONDITIONS,
  model: CONDITIONS,
  data: CONDITIONS,
  engine: CONDITIONS,
  place: CONDITIONS,
});

/** Any entry of a policy document. */
export const policyEntrySchema = z.discriminatedUnion('kind', [
  labelKeySchema,
  placeSchema,
  engineSchema,
  modelSchema,
  tenantSchema,
  selectorSchema,
]);

/** Any entry of a policy document. */
export type PolicyEntry = z.infer<typeof policyEntrySchema>;
/** The kinds of entry. */
export type PolicyEntryKind = PolicyEntry['kind'];
/** A declared label key. */
export type LabelKeyEntry = z.infer<typeof labelKeySchema>;
/** A place. */
export type PlaceEntry = z.infer<typeof placeSchema>;
/** A back end. */
export type EngineEntry = z.infer<typeof engineSchema>;
/** A model or plain service. */
export type ModelEntry = z.infer<typeof modelSchema>;
/** A tenant. */
export type TenantEntry = z.infer<typeof tenantSchema>;
/** A selector. */
export type SelectorEntry = z.infer<typeof selectorSchema>;
/** Accepted values by label key; every key must match. */
export type Conditions = SelectorEntry['tenant'];

/** `kind.name`, for instance `engine.hall-a-1`. */
export type EntryName = string;

/** All entries by name. */
export type PolicyDocument = Readonly<Record<EntryName, PolicyEntry>>;

/** Joins a kind and a name to an entry name. */
export function entryName(kind: PolicyEntryKind, name: string): EntryName {
  return `${kind}.${name}`;
}

/** The entries of one kind as `[name, entry]`, in order of name. */
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
