/**
 * Idempotency keys in the platform's key-value service: whoever creates the key
 * may run the request, and nobody else ever.
 */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { KeyValueClient } from '../key-value/key-value.js';
import type { RequestId } from '../request/request-id.js';
import type { ClaimOutcome } from './entry-events.js';

const claimSchema = z.object({ requestId: z.string() });
const MAX_ATTEMPTS = 3;

/** Claims and releases idempotency keys. */
export class ClaimStore {
  constructor(private readonly client: KeyValueClient) {}

  /**
   * Claims `key` of `tenant` for the request `id`.
   *
   * The claim holds the request's id, so that a lost answer is resolved by
   * reading back. `unavailable` promises only that the caller must not run the
   * request; the claim may stand.
   */
  async claim(tenant: string, key: string, id: RequestId): Promise<ClaimOutcome> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const swap = await this.client.compareAndSwap(claimKey(tenant, key), 0, { requestId: id });
      if (swap.ok && swap.val.swapped) {
        return 'claimed';
      }
      if (swap.ok && !swap.val.swapped) {
        return isClaimOf(swap.val.current?.value, id) ? 'claimed' : 'taken';
      }
      if (!swap.ok && swap.val.code === 'platform-unavailable') {
        return 'unavailable';
      }
    }
    return 'unavailable';
  }

  /** Gives `key` back after the request `id` was certainly not run, so that the caller may try again. */
  async release(tenant: string, key: string, id: RequestId): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const entry = await this.client.get(claimKey(tenant, key));
      if (!entry.ok) {
        continue;
      }
      if (entry.val === undefined || !isClaimOf(entry.val.value, id)) {
        return;
      }
      const swap = await this.client.compareAndSwap(
        claimKey(tenant, key),
        entry.val.revision,
        null,
      );
      if (swap.ok) {
        return;
      }
    }
  }
}

function claimKey(tenant: string, key: string): string {
  const hash = createHash('sha256').update(`${tenant}\n${key}`).digest('hex');
  return `claim/${hash}`;
}

function isClaimOf(value: unknown, id: RequestId): boolean {
  const claim = claimSchema.safeParse(value);
  return claim.success && claim.data.requestId === id;
}
