/** Policy changes: edits of entries, and the record stored for each accepted change. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { canonicalJson } from './compiled-policy.js';
import { policyEntrySchema } from './document.js';
import type { EntryName, PolicyDocument, PolicyEntry } from './document.js';

/** Schema of an edit: the new value of one entry; `after: null` removes the entry. */
export const policyEditSchema = z.strictObject({
  entry: z.string(),
  after: policyEntrySchema.nullable(),
});

/** Schema of the record of an accepted change. */
export const changeRecordSchema = z.strictObject({
  /** Idempotency key chosen by the CLI; identifies the change after a lost response. */
  changeId: z.string(),
  generation: z.number().int().positive(),
  author: z.string(),
  /** Wall-clock time of the CLI's host, in milliseconds since 1970 (Unix time). */
  atMs: z.number(),
  summary: z.string(),
  /** Null if the edits were too large to store in the record. */
  edits: z.array(policyEditSchema).nullable(),
  /** Digest of the whole document after the change. */
  digest: z.number(),
});

/** New value of one policy entry, or its removal. */
export type PolicyEdit = z.infer<typeof policyEditSchema>;
/** Record of an accepted change. */
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

/** Returns the edits that turn `from` into `to`, sorted by entry name. */
export function diffPolicies(from: PolicyDocument, to: PolicyDocument): PolicyEdit[] {
  const names = new Set([...Object.keys(from), ...Object.keys(to)]);
  return [...names]
    .sort()
    .filter((name) => canonicalJson(from[name] ?? null) !== canonicalJson(to[name] ?? null))
    .map((name) => ({ entry: name, after: to[name] ?? null }));
}

const DIGEST_MODULUS = 2 ** 48;
const DIGEST_BYTES = 6;

/**
 * Returns the digest of a document: the sum of the digests of its entries, so that
 * updating it after a change hashes only the changed entries.
 */
export function policyDigest(document: PolicyDocument): number {
  return Object.entries(document).reduce(
    (sum, [name, entry]) => (sum + entryDigest(name, entry)) % DIGEST_MODULUS,
    0,
  );
}

/** Updates `digest`, the digest of the document `before`, for `edits`. */
export function digestAfterEdits(
  digest: number,
  before: PolicyDocument,
  edits: readonly PolicyEdit[],
): number {
  let sum = digest;
  for (const edit of edits) {
    const previous = before[edit.entry];
    const removed = previous === undefined ? 0 : entryDigest(edit.entry, previous);
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
