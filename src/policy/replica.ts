/** Policy replica of a process: installs only newer generations, creates updates for peers. */
import { z } from 'zod';
import { applyEdits, changeRecordSchema, digestAfterEdits, policyDigest } from './change.js';
import type { ChangeRecord } from './change.js';
import { compilePolicy, EMPTY_POLICY } from './compiled-policy.js';
import type { CompiledPolicy } from './compiled-policy.js';
import { policyEntrySchema } from './document.js';
import { PermittedEnginesCache } from './eligibility.js';
import { TenantDirectory } from './api-key.js';

/** Schema of a policy update. */
export const policyUpdateSchema = z.discriminatedUnion('form', [
  z.strictObject({ form: z.literal('delta'), records: z.array(changeRecordSchema).min(1) }),
  z.strictObject({
    form: z.literal('full'),
    generation: z.number().int().positive(),
    document: z.record(z.string(), policyEntrySchema),
    recent: z.array(changeRecordSchema),
  }),
]);

/** Update to a newer generation: the missing changes (`delta`) or the document (`full`). */
export type PolicyUpdate = z.infer<typeof policyUpdateSchema>;

/** Result of installing an update; `needs-full` if a delta cannot be applied. */
export type InstallOutcome = 'installed' | 'not-newer' | 'needs-full';

/** Number of accepted changes retained for delta updates. */
export const RECENT_CHANGE_COUNT = 64;

/** Holds the policy in force in this process, with its caches. */
export class PolicyReplica {
  private compiled: CompiledPolicy = EMPTY_POLICY;
  private digest = policyDigest({});
  private recent: ChangeRecord[] = [];
  private permittedCache = new PermittedEnginesCache(EMPTY_POLICY);
  private tenantDirectory = new TenantDirectory(EMPTY_POLICY);

  /** Generation in force; 0 before the first policy is installed. */
  get generation(): number {
    return this.compiled.generation;
  }

  /** The policy in force. */
  get policy(): CompiledPolicy {
    return this.compiled;
  }

  /** Cache of permitted engines per request class, under the policy in force. */
  get permitted(): PermittedEnginesCache {
    return this.permittedCache;
  }

  /** Tenant lookup by API key, under the policy in force. */
  get tenants(): TenantDirectory {
    return this.tenantDirectory;
  }

  /** Installs `update` if it is newer than the policy in force; never downgrades. */
  install(update: PolicyUpdate): InstallOutcome {
    if (update.form === 'delta') {
      return this.installDelta(update.records);
    }
    if (update.generation <= this.generation) {
      return 'not-newer';
    }
    this.replacePolicy(
      update.document,
      update.generation,
      policyDigest(update.document),
      update.recent,
    );
    return 'installed';
  }

  /** Returns the update for a peer at `generation`, or undefined if the peer is up to date. */
  updateFor(generation: number): PolicyUpdate | undefined {
    if (generation >= this.generation) {
      return undefined;
    }
    const missing = this.recent.filter((record) => record.generation > generation);
    // Generation 0 requests the full document: the peer has no document yet, or a delta could not
    // be applied to the one that it has.
    const isContiguous = generation > 0 && missing.length === this.generation - generation;
    if (isContiguous && missing.every((record) => record.edits !== null)) {
      return { form: 'delta', records: missing };
    }
    return {
      form: 'full',
      generation: this.generation,
      document: this.compiled.document,
      recent: this.recent,
    };
  }

  private installDelta(records: readonly ChangeRecord[]): InstallOutcome {
    const newer = records.filter((record) => record.generation > this.generation);
    if (newer.length === 0) {
      return 'not-newer';
    }
    let document = this.compiled.document;
    let digest = this.digest;
    let generation = this.generation;
    for (const record of newer) {
      if (record.generation !== generation + 1 || record.edits === null) {
        return 'needs-full';
      }
      digest = digestAfterEdits(digest, document, record.edits);
      document = applyEdits(document, record.edits);
      generation = record.generation;
      if (digest !== record.digest) {
        return 'needs-full';
      }
    }
    this.replacePolicy(document, generation, digest, [...this.recent, ...newer]);
    return 'installed';
  }

  private replacePolicy(
    document: CompiledPolicy['document'],
    generation: number,
    digest: number,
    recent: readonly ChangeRecord[],
  ): void {
    this.compiled = compilePolicy(document, generation);
    this.digest = digest;
    this.recent = recent.slice(-RECENT_CHANGE_COUNT);
    this.permittedCache = new PermittedEnginesCache(this.compiled);
    this.tenantDirectory = new TenantDirectory(this.compiled);
  }
}
