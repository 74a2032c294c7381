/** What a caller asked for, as every part of weirvale sees it. */
import type { RequestId } from './request-id.js';
import type { Tier } from './tier.js';

/** Label values by label key. */
export type Labels = Readonly<Record<string, string>>;

/** The attributes of a request that selectors match and that rank its engines. */
export interface RequestAttributes {
  /** Name of the tenant that the API key belongs to. */
  readonly tenant: string;
  /** Name of the model, or of the plain service. */
  readonly model: string;
  /** Labels of the data the request carries. */
  readonly dataLabels: Labels;
}

/** A request as accepted from its caller. */
export interface RequestDescription extends RequestAttributes {
  readonly id: RequestId;
  /** Tier that policy gave the request. */
  readonly tier: Tier;
  /** When the answer is of no more use, on the entry's clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Estimated prompt length in tokens; 0 for plain services. */
  readonly promptTokens: number;
  /** Most tokens that the answer may have; 0 for plain services. */
  readonly maxOutputTokens: number;
  /** Hash of the first part of the prompt, by which engines that cache it are preferred. */
  readonly prefixHash: string;
  /** False when the request must run at most once even if the caller sends it again. */
  readonly isRepeatable: boolean;
  /** The caller's key that names one not-repeatable operation. */
  readonly idempotencyKey?: string;
  /** What is handed to the back end. */
  readonly payload: RequestPayload;
}

/** What is handed to a back end, as it goes over its HTTP interface. */
export interface RequestPayload {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
}

/** Bytes that a waiting request holds, near enough for limits. */
export function sizeOf(request: RequestDescription): number {
  const FIXED_BYTES = 512;
  return FIXED_BYTES + request.payload.body.length;
}
