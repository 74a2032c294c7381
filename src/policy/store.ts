/**
 * The policy in the platform's key-value service: content-addressed shards by
 * place under one head, and the head as the only key that is ever contended.
 */
import { z } from 'zod';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import type { KeyValueClient } from '../key-value/key-value.js';
import type { PlatformError } from '../key-value/errors.js';
import { applyEdits, changeRecordSchema, digestAfterEdits, policyDigest } from './change.js';
import type { ChangeRecord, PolicyEdit } from './change.js';
import { canonicalJson, digestOf } from './compiled-policy.js';
import { policyEntrySchema } from './document.js';
import type { PolicyDocument, PolicyEntry } from './document.js';
import { InvalidPolicyError, PolicyConflictError, PolicyStoreUnavailableError } from './errors.js';
import { RECENT_CHANGE_COUNT } from './replica.js';
import type { PolicyUpdate } from './replica.js';
import { findPolicyProblems } from './validate.js';

/** Key of the head. */
export const POLICY_HEAD_KEY = 'policy/head';

const CORE_SHARD = 'core';
const MAX_EDITS_BYTES = 32_768;
const MAX_ATTEMPTS = 12;

const headSchema = z.strictObject({
  generation: z.number().int().nonnegative(),
  /** Digest of each shard, by shard name. */
  shards: z.record(z.string(), z.string()),
  recent: z.array(changeRecordSchema),
});

/** The value of the head key. */
export type PolicyHead = z.infer<typeof headSchema>;

const EMPTY_HEAD: PolicyHead = { generation: 0, shards: {}, recent: [] };

/** The policy as it stands in the service. */
export interface StoredPolicy {
  readonly head: PolicyHead;
  /** Revision of the head key, for the next compare-and-swap. */
  readonly headRevision: number;
  readonly document: PolicyDocument;
}

/** A change as an operator asks for it. */
export interface RequestedChange {
  /** Unique to this change; sent again unchanged when the change is tried again. */
  readonly changeId: string;
  readonly author: string;
  readonly atMs: number;
  readonly summary: string;
  readonly edits: readonly PolicyEdit[];
  /** The entries as the operator saw them; a difference from the stored ones is a conflict. */
  readonly seen: PolicyDocument;
}

/** Failures of changing the stored policy. */
export type PolicyChangeError =
  InvalidPolicyError | PolicyConflictError | PolicyStoreUnavailableError;

/** Parses the value of the head key; a key that does not exist is the empty policy. */
export function parseHead(value: unknown): PolicyHead {
  return value === undefined ? EMPTY_HEAD : headSchema.parse(value);
}

/** Reads head and shards. */
export async function readStoredPolicy(
  client: KeyValueClient,
): Promise<Result<StoredPolicy, PlatformError>> {
  const headEntry = await client.get(POLICY_HEAD_KEY);
  if (!headEntry.ok) {
    return err(headEntry.val);
  }
  const head = parseHead(headEntry.val?.value);
  const document: Record<string, PolicyEntry> = {};
  for (const [shard, digest] of Object.entries(head.shards)) {
    const entry = await client.get(shardKey(shard, digest));
    if (!entry.ok) {
      return err(entry.val);
    }
    Object.assign(document, z.record(z.string(), policyEntrySchema).parse(entry.val?.value));
  }
  return ok({ head, headRevision: headEntry.val?.revision ?? 0, document });
}

/** The update that a process at `generation` needs, from the head alone where that is enough. */
export function updateFromHead(head: PolicyHead, generation: number): PolicyUpdate | undefined {
  const missing = head.recent.filter((record) => record.generation > generation);
  const isComplete =
    missing.length === head.generation - generation &&
    missing.length > 0 &&
    missing.every((record) => record.edits !== null);
  return isComplete ? { form: 'delta', records: missing } : undefined;
}

/** The stored policy as an update for any process. */
export function fullUpdateOf(stored: StoredPolicy): PolicyUpdate {
  return {
    form: 'full',
    generation: stored.head.generation,
    document: stored.document,
    recent: stored.head.recent,
  };
}

/**
 * Puts a change in force with one compare-and-swap of the head.
 *
 * Changes to other entries are merged by trying again. A lost answer is
 * resolved by reading the head back and looking for the change's id.
 *
 * @returns the accepted record, or InvalidPolicyError, PolicyConflictError or PolicyStoreUnavailableError
 */
export async function changePolicy(
  client: KeyValueClient,
  change: RequestedChange,
): Promise<Result<ChangeRecord, PolicyChangeError>> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const stored = await readStoredPolicy(client);
    if (!stored.ok) {
      if (attempt + 1 < MAX_ATTEMPTS && stored.val.code === 'platform-answer-lost') {
        continue;
      }
      return err(new PolicyStoreUnavailableError(stored.val.message));
    }
    const accepted = stored.val.head.recent.find((record) => record.changeId === change.changeId);
    if (accepted !== undefined) {
      return ok(accepted);
    }
    const outcome = await tryChange(client, stored.val, change);
    if (outcome !== 'try-again') {
      return outcome;
    }
  }
  return err(
    new PolicyStoreUnavailableError('the change found no certain answer; look at history'),
  );
}

async function tryChange(
  client: KeyValueClient,
  stored: StoredPolicy,
  change: RequestedChange,
): Promise<Result<ChangeRecord, PolicyChangeError> | 'try-again'> {
  const conflict = findConflict(stored.document, change);
  if (conflict !== undefined) {
    return err(conflict);
  }
  const document = applyEdits(stored.document, change.edits);
  const problems = findPolicyProblems(document);
  if (problems.length > 0) {
    return err(new InvalidPolicyError(problems));
  }
  const record = createRecord(stored, change);
  const shards = splitIntoShards(document);
  const written = await writeShards(client, stored.head.shards, shards);
  if (!written) {
    return 'try-again';
  }
  const head: PolicyHead = {
    generation: record.generation,
    shards: Object.fromEntries([...shards].map(([name, entries]) => [name, digestOf(entries)])),
    recent: [...stored.head.recent, record].slice(-RECENT_CHANGE_COUNT),
  };
  const swap = await client.compareAndSwap(POLICY_HEAD_KEY, stored.headRevision, head);
  return swap.ok && swap.val.swapped ? ok(record) : 'try-again';
}

function findConflict(
  document: PolicyDocument,
  change: RequestedChange,
): PolicyConflictError | undefined {
  for (const edit of change.edits) {
    const stored = document[edit.entry];
    const seen = change.seen[edit.entry];
    const wanted = edit.after ?? undefined;
    const isUnchanged = canonicalJson(stored ?? null) === canonicalJson(seen ?? null);
    const isAlreadyWanted = canonicalJson(stored ?? null) === canonicalJson(wanted ?? null);
    if (!isUnchanged && !isAlreadyWanted) {
      return new PolicyConflictError(edit.entry, stored, wanted);
    }
  }
  return undefined;
}

function createRecord(stored: StoredPolicy, change: RequestedChange): ChangeRecord {
  const before = policyDigest(stored.document);
  const isSmall = canonicalJson(change.edits).length <= MAX_EDITS_BYTES;
  return {
    changeId: change.changeId,
    generation: stored.head.generation + 1,
    author: change.author,
    atMs: change.atMs,
    summary: change.summary,
    edits: isSmall ? [...change.edits] : null,
    digest: digestAfterEdits(before, stored.document, change.edits),
  };
}

function splitIntoShards(document: PolicyDocument): Map<string, PolicyDocument> {
  const shards = new Map<string, Record<string, PolicyEntry>>([[CORE_SHARD, {}]]);
  for (const [name, entry] of Object.entries(document)) {
    const shard = entry.kind === 'engine' ? `place-${entry.place}` : CORE_SHARD;
    const entries = shards.get(shard) ?? {};
    entries[name] = entry;
    shards.set(shard, entries);
  }
  return shards;
}

async function writeShards(
  client: KeyValueClient,
  known: Readonly<Record<string, string>>,
  shards: ReadonlyMap<string, PolicyDocument>,
): Promise<boolean> {
  for (const [name, entries] of shards) {
    const digest = digestOf(entries);
    if (known[name] === digest) {
      continue;
    }
    // The key names its content, so a key that exists already holds this very value.
    const written = await client.compareAndSwap(shardKey(name, digest), 0, entries);
    if (!written.ok) {
      return false;
    }
  }
  return true;
}

function shardKey(shard: string, digest: string): string {
  return `policy/shard/${shard}/${digest}`;
}
