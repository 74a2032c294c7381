/** Refusal of a request whose tenant's quota is spent. */
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { ChargeResult } from './pending-charge.js';

/** Returns the refusal that tells the caller what is left of the quota, and when to return. */
export function quotaRefusal(
  { tenant, quotaCost }: Pick<AcceptedRequest, 'tenant' | 'quotaCost'>,
  result: Exclude<ChargeResult, { readonly isGranted: true }>,
): GatewayRefusal {
  const { retryAfterMs, left, refused, unanswered } = result;
  const quota = { tenant: tenant ?? '', cost: quotaCost, left, refused, unanswered };
  return { reason: 'quota-spent', retryAfterMs, quota };
}
