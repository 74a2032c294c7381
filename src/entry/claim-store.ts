/**
 * Claims idempotency keys in the platform's key-value service: only the request that creates the
 * key may run.
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
   * The stored claim contains the request id, so that a lost response is resolved by reading the
   * claim back. `unavailable` means that the request must not be run, although the claim may have
   * been stored.
   */
  async claim(tenant: string, key: string, id: RequestId): Promise<ClaimOutcome> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const result = await this.client.compareAndSwap(claimKey(tenant, key), 0, { requestId: id });
      if (result.ok && result.val.swapped) {
        return 'claimed';
      }
      if (result.ok && !result.val.swapped) {
        return isClaimedBy(result.val.current?.value, id) ? 'claimed' : 'taken';
      }
      if (!result.ok && result.val.code === 'platform-unavailable') {
        return 'unavailable';
      }
    }
    return 'unavailable';
  }

  /** Releases `key` after the request `id` was certainly not run, so that the caller can retry. */
  async release(tenant: string, key: string, id: RequestId): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const record = await this.client.get(claimKey(tenant, key));
      if (!record.ok) {
        continue;
      }
      if (record.val === undefined || !isClaimedBy(record.val.value, id)) {
        return;
      }
      const result = await this.client.compareAndSwap(
        claimKey(tenant, key),
        record.val.revision,
        null,
      );
      if (result.ok) {
        return;
      }
    }
  }
}

function claimKey(tenant: string, key: string): string {
  const hash = createHash('sha256').update(`${tenant}\n${key}`).digest('hex');
  return `claim/${hash}`;
}

function isClaimedBy(value: unknown, id: RequestId): boolean {
  const claim = claimSchema.safeParse(value);
  return claim.success && claim.data.requestId === id;
}
