/** API keys of tenants, kept in the policy as salted hashes only. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { CompiledPolicy } from './compiled-policy.js';

/** `salt:hex(sha256(salt + key))`, the form in which a policy holds a key. */
export function hashApiKey(key: string, salt: string): string {
  const hash = createHash('sha256')
    .update(salt + key)
    .digest('hex');
  return `${salt}:${hash}`;
}

/** Finds the tenant of an API key; remembers keys that were found under one policy. */
export class TenantDirectory {
  private readonly found = new Map<string, string>();

  constructor(private readonly policy: CompiledPolicy) {}

  /** Name of the tenant that `key` belongs to, or undefined for an unknown key. */
  findTenant(key: string): string | undefined {
    const known = this.found.get(key);
    if (known !== undefined) {
      return known;
    }
    for (const [tenant, entry] of this.policy.tenants) {
      if (entry.keys.some((stored) => isKeyOf(stored, key))) {
        this.found.set(key, tenant);
        return tenant;
      }
    }
    return undefined;
  }
}

function isKeyOf(stored: string, key: string): boolean {
  const salt = stored.slice(0, stored.indexOf(':'));
  const expected = Buffer.from(stored);
  const actual = Buffer.from(hashApiKey(key, salt));
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
