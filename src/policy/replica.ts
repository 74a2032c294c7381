/** A process's copy of the policy: installs newer generations only, and updates peers that are behind. */
import { z } from 'zod';
import { applyEdits, changeRecordSchema, digestAfterEdits, policyDigest } from './change.js';
import type { ChangeRecord } from './change.js';
import { compilePolicy, EMPTY_POLICY } from './compiled-policy.js';
import type { CompiledPolicy } from './compiled-policy.js';
import { policyEntrySchema } from './document.js';
import { PermittedEnginesCache } from './eligibility.js';
import { TenantDirectory } from './api-key.js';

/** What brings a peer from its generation to a newer one. */
export const policyUpdateSchema = z.discriminatedUnion('form', [
  z.strictObject({ form: z.literal('delta'), records: z.array(changeRecordSchema).min(1) }),
  z.strictObject({
    form: z.literal('full'),
    generation: z.number().int().positive(),
    document: z.record(z.string(), policyEntrySchema),
    recent: z.array(changeRecordSchema),
  }),
]);

/** What brings a peer from its generation to a newer one. */
export type PolicyUpdate = z.infer<typeof policyUpdateSchema>;

/** What became of an update. */
export type InstallOutcome = 'installed' | 'not-newer' | 'needs-full';

/** How many accepted changes are remembered for peers that are behind. */
export const RECENT_CHANGE_COUNT = 64;

/** A process's copy of the policy. */
export class PolicyReplica {
  private compiled: CompiledPolicy = EMPTY_POLICY;
  private digest = policyDigest({});
  private recent: ChangeRecord[] = [];
  private permittedCache = new PermittedEnginesCache(EMPTY_POLICY);
  private tenantDirectory = new TenantDirectory(EMPTY_POLICY);

  /** Generation in force here; 0 before any policy was learned. */
  get generation(): number {
    return this.compiled.generation;
  }

  /** The policy in force here. */
  get policy(): CompiledPolicy {
    return this.compiled;
  }

  /** The engines that a class of request may use, under the policy in force. */
  get permitted(): PermittedEnginesCache {
    return this.permittedCache;
  }

  /** Tenants by API key, under the policy in force. */
  get tenants(): TenantDirectory {
    return this.tenantDirectory;
  }

  /** Installs `update` if it is newer than what is in force; never goes back. */
  install(update: PolicyUpdate): InstallOutcome {
    if (update.form === 'delta') {
      return this.installDelta(update.records);
    }
    if (update.generation <= this.generation) {
      return 'not-newer';
    }
    this.put(update.document, update.generation, policyDigest(update.document), update.recent);
    return 'installed';
  }

  /** The update that brings a peer at `generation` here, or undefined if it is not behind. */
  updateFor(generation: number): PolicyUpdate | undefined {
    if (generation >= this.generation) {
      return undefined;
    }
    const missing = this.recent.filter((record) => record.generation > generation);
    // A peer that asks from generation 0 has nothing that a delta could be applied to.
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
    this.put(document, generation, digest, [...this.recent, ...newer]);
    return 'installed';
  }

  private put(
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
