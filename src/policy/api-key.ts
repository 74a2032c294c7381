/** Tenant API keys; the policy stores only their salted hashes. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { CompiledPolicy } from './compiled-policy.js';

/** Returns `salt:hex(sha256(salt + key))`, the form in which a policy stores a key. */
export function hashApiKey(key: string, salt: string): string {
  const hash = createHash('sha256')
    .update(salt + key)
    .digest('hex');
  return `${salt}:${hash}`;
}

/** Looks up tenants by API key under one policy and caches the successful lookups. */
export class TenantDirectory {
  private readonly tenantsByKey = new Map<string, string>();

  constructor(private readonly policy: CompiledPolicy) {}

  /** Returns the name of the tenant that `key` belongs to, or undefined if the key is unknown. */
  findTenant(key: string): string | undefined {
    const cached = this.tenantsByKey.get(key);
    if (cached !== undefined) {
      return cached;
    }
    for (const [tenant, entry] of this.policy.tenants) {
      if (entry.keys.some((stored) => matchesStoredHash(stored, key))) {
        this.tenantsByKey.set(key, tenant);
        return tenant;
      }
    }
    return undefined;
  }
}

function matchesStoredHash(stored: string, key: string): boolean {
  const salt = stored.slice(0, stored.indexOf(':'));
  const expected = Buffer.from(stored);
  const actual = Buffer.from(hashApiKey(key, salt));
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
