/** Description of an accepted request, shared by entries and agents. */
import type { RequestId } from './request-id.js';
import type { Tier } from './tier.js';

/** Label values by label key. */
export type Labels = Readonly<Record<string, string>>;

/** Attributes of a request that selectors match and that are used to rank its engines. */
export interface RequestAttributes {
  /** Name of the tenant that the API key belongs to. */
  readonly tenant: string;
  /** Name of the model or plain service. */
  readonly model: string;
  /** Labels that classify the data of the request. */
  readonly dataLabels: Labels;
}

/** An accepted request. */
export interface RequestDescription extends RequestAttributes {
  readonly id: RequestId;
  /** Tier assigned by policy. */
  readonly tier: Tier;
  /** Deadline of the response on the entry's clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Estimated prompt length in tokens; 0 for plain services. */
  readonly promptTokens: number;
  /** Maximum response length in tokens; 0 for plain services. */
  readonly maxOutputTokens: number;
  /** Hash of the prompt prefix; engines that have this prefix cached are preferred. */
  readonly prefixHash: string;
  /** False if the request must be executed at most once, even if the caller retries it. */
  readonly isRepeatable: boolean;
  /** Caller-supplied key that identifies one non-repeatable operation across retries. */
  readonly idempotencyKey?: string;
  /** HTTP request to send to the backend. */
  readonly payload: RequestPayload;
}

/** HTTP request to a backend. */
export interface RequestPayload {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
}

/** Estimates the memory of a waiting request in bytes, for queue limits. */
export function estimateRequestBytes(request: RequestDescription): number {
  const FIXED_BYTES = 512;
  return FIXED_BYTES + request.payload.body.length;
}
