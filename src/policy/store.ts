/**
 * Stores the policy in the platform's key-value service: one content-addressed shard per place for
 * its engines, a core shard for all other entries, and a head key that references the current
 * shards. Only the head key is subject to write conflicts.
 */
import { z } from 'zod';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import type { KeyValueClient } from '../key-value/key-value.js';
import type { PlatformError } from '../key-value/errors.js';
import { applyEdits, changeRecordSchema, digestAfterEdits, policyDigest } from './change.js';
import type { ChangeRecord, PolicyEdit } from './change.js';
import { canonicalJson, contentDigest } from './compiled-policy.js';
import { policyEntrySchema } from './document.js';
import type { PolicyDocument, PolicyEntry } from './document.js';
import { InvalidPolicyError, PolicyConflictError, PolicyStoreUnavailableError } from './errors.js';
import { RECENT_CHANGE_COUNT } from './replica.js';
import type { PolicyUpdate } from './replica.js';
import { findPolicyProblems } from './validate.js';

/** Key that references the current shards. */
export const POLICY_HEAD_KEY = 'policy/head';

const CORE_SHARD = 'core';
const MAX_EDITS_BYTES = 32_768;
const MAX_ATTEMPTS = 12;

const headSchema = z.strictObject({
  generation: z.number().int().nonnegative(),
  /** Content hash of each shard by shard name. */
  shards: z.record(z.string(), z.string()),
  recent: z.array(changeRecordSchema),
});

/** The value of the head key. */
export type PolicyHead = z.infer<typeof headSchema>;

const EMPTY_HEAD: PolicyHead = { generation: 0, shards: {}, recent: [] };

/** The policy as read from the service. */
export interface StoredPolicy {
  readonly head: PolicyHead;
  /** Revision of the head key; the expected revision of the next compare-and-swap. */
  readonly headRevision: number;
  readonly document: PolicyDocument;
}

/** A change requested by an operator. */
export interface RequestedChange {
  /** Idempotency key of this change; unchanged across retries. */
  readonly changeId: string;
  readonly author: string;
  readonly atMs: number;
  readonly summary: string;
  readonly edits: readonly PolicyEdit[];
  /** Document that the edits are based on; an edited entry that differs in the store conflicts. */
  readonly baseDocument: PolicyDocument;
}

/** Errors of changing the stored policy. */
export type PolicyChangeError =
  InvalidPolicyError | PolicyConflictError | PolicyStoreUnavailableError;

/** Parses the value of the head key; a missing key yields the empty policy. */
export function parseHead(value: unknown): PolicyHead {
  return value === undefined ? EMPTY_HEAD : headSchema.parse(value);
}

/** Reads the head key and all shards it references. */
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

/** Creates a delta update from `generation` out of the head's recent changes, if they suffice. */
export function updateFromHead(head: PolicyHead, generation: number): PolicyUpdate | undefined {
  const missing = head.recent.filter((record) => record.generation > generation);
  const isComplete =
    missing.length === head.generation - generation &&
    missing.length > 0 &&
    missing.every((record) => record.edits !== null);
  return isComplete ? { form: 'delta', records: missing } : undefined;
}

/** Returns the stored policy as a full update. */
export function fullUpdateOf(stored: StoredPolicy): PolicyUpdate {
  return {
    form: 'full',
    generation: stored.head.generation,
    document: stored.document,
    recent: stored.head.recent,
  };
}

/**
 * Applies a change with one compare-and-swap of the head key.
 *
 * Concurrent changes to other entries are merged by retrying. After a lost response, the change
 * id is looked up in the recent changes of the head to determine whether the write took effect.
 *
 * @returns the accepted record, or InvalidPolicyError, PolicyConflictError or
 *   PolicyStoreUnavailableError
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
    new PolicyStoreUnavailableError(
      'the outcome of the change is unknown; check the policy history',
    ),
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
  const areWritten = await writeShards(client, stored.head.shards, shards);
  if (!areWritten) {
    return 'try-again';
  }
  const head: PolicyHead = {
    generation: record.generation,
    shards: Object.fromEntries(
      [...shards].map(([name, entries]) => [name, contentDigest(entries)]),
    ),
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
    const base = change.baseDocument[edit.entry];
    const requested = edit.after ?? undefined;
    const isUnchanged = canonicalJson(stored ?? null) === canonicalJson(base ?? null);
    const isAlreadyApplied = canonicalJson(stored ?? null) === canonicalJson(requested ?? null);
    if (!isUnchanged && !isAlreadyApplied) {
      return new PolicyConflictError(edit.entry, stored, requested);
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
  storedDigests: Readonly<Record<string, string>>,
  shards: ReadonlyMap<string, PolicyDocument>,
): Promise<boolean> {
  for (const [name, entries] of shards) {
    const digest = contentDigest(entries);
    if (storedDigests[name] === digest) {
      continue;
    }
    // Keys are content hashes, so an existing key already holds the same value.
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
