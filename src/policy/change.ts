/** Changes of policy: edits of entries, and the record that an accepted change leaves behind. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { canonicalJson } from './compiled-policy.js';
import { policyEntrySchema } from './document.js';
import type { EntryName, PolicyDocument, PolicyEntry } from './document.js';

/** One entry's new state; `after: null` removes it. */
export const policyEditSchema = z.strictObject({
  entry: z.string(),
  after: policyEntrySchema.nullable(),
});

/** One accepted change. */
export const changeRecordSchema = z.strictObject({
  /** Chosen by the operator's tool; the change is looked for under it after a lost answer. */
  changeId: z.string(),
  generation: z.number().int().positive(),
  author: z.string(),
  /** Wall-clock time of the operator's tool, in milliseconds since 1970. */
  atMs: z.number(),
  summary: z.string(),
  /** Null when the change was too large to be kept in the record. */
  edits: z.array(policyEditSchema).nullable(),
  /** Digest of the whole document after the change. */
  digest: z.number(),
});

/** One entry's new state. */
export type PolicyEdit = z.infer<typeof policyEditSchema>;
/** One accepted change. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** Returns `document` with `edits` applied. */
export function applyEdits(document: PolicyDocument, edits: readonly PolicyEdit[]): PolicyDocument {
  const changed: Record<EntryName, PolicyEntry> = { ...document };
  for (const edit of edits) {
    if (edit.after === null) {
      delete changed[edit.entry];
    } else {
      changed[edit.entry] = edit.after;
    }
  }
  return changed;
}

/** The edits that turn `from` into `to`. */
export function findEdits(from: PolicyDocument, to: PolicyDocument): PolicyEdit[] {
  const names = new Set([...Object.keys(from), ...Object.keys(to)]);
  return [...names]
    .sort()
    .filter((name) => canonicalJson(from[name] ?? null) !== canonicalJson(to[name] ?? null))
    .map((name) => ({ entry: name, after: to[name] ?? null }));
}

const DIGEST_MODULUS = 2 ** 48;
const DIGEST_BYTES = 6;

/**
 * Digest of a document as a sum over its entries, so that the digest after a
 * change costs only the entries that changed.
 */
export function policyDigest(document: PolicyDocument): number {
  return Object.entries(document).reduce(
    (sum, [name, entry]) => (sum + entryDigest(name, entry)) % DIGEST_MODULUS,
    0,
  );
}

/** Digest after `edits`, given the digest and the document before them. */
export function digestAfterEdits(
  digest: number,
  before: PolicyDocument,
  edits: readonly PolicyEdit[],
): number {
  let sum = digest;
  for (const edit of edits) {
    const old = before[edit.entry];
    const removed = old === undefined ? 0 : entryDigest(edit.entry, old);
    const added = edit.after === null ? 0 : entryDigest(edit.entry, edit.after);
    sum = (sum + added - removed + DIGEST_MODULUS) % DIGEST_MODULUS;
  }
  return sum;
}

function entryDigest(name: EntryName, entry: PolicyEntry): number {
  const hash = createHash('sha256')
    .update(`${name}=${canonicalJson(entry)}`)
    .digest();
  return hash.readUIntBE(0, DIGEST_BYTES);
}
