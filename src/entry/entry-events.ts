/** Events that an entry core handles, and effects that it returns. */
import type { Decision, Measurement } from '../decision.js';
import type { Machine } from '../membership/machine.js';
import type { PolicyUpdate } from '../policy/replica.js';
import type { Frame, HelloMessage, Message } from '../protocol/messages.js';
import type { Refusal } from '../request/refusal.js';
import type { Labels, RequestPayload } from '../request/request.js';
import type { RequestId } from '../request/request-id.js';
import type { Tier } from '../request/tier.js';

/** A request as the HTTP server passes it to the entry core. */
export interface IncomingRequest {
  readonly id: RequestId;
  readonly tenant: string;
  readonly model: string;
  readonly dataLabels: Labels;
  /** Tier requested by the caller; may be lower than the tier that policy assigns, never higher. */
  readonly requestedTier?: Tier;
  /** Time from arrival until the deadline, in milliseconds. */
  readonly deadlineInMs: number;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixHash: string;
  /** False if the caller marked the request as not safe to execute more than once. */
  readonly isRepeatable: boolean;
  readonly idempotencyKey?: string;
  readonly payload: RequestPayload;
}

/** Result of claiming an idempotency key. */
export type ClaimOutcome = 'claimed' | 'taken' | 'unavailable';

/** An input of the entry core; `peer` is the name of an agent. */
export type EntryEvent =
  | { readonly kind: 'request-arrived'; readonly request: IncomingRequest }
  | { readonly kind: 'caller-gone'; readonly id: RequestId }
  | { readonly kind: 'claim-resolved'; readonly id: RequestId; readonly outcome: ClaimOutcome }
  | {
      readonly kind: 'peer-connected';
      readonly peer: string;
      readonly connectionNumber: number;
      readonly hello: HelloMessage;
    }
  | {
      readonly kind: 'peer-disconnected';
      readonly peer: string;
      readonly connectionNumber: number;
    }
  | {
      readonly kind: 'frame';
      readonly peer: string;
      readonly connectionNumber: number;
      readonly frame: Frame;
    }
  | { readonly kind: 'fleet'; readonly machines: readonly Machine[] }
  | { readonly kind: 'policy'; readonly update: PolicyUpdate }
  | { readonly kind: 'tick' }
  | { readonly kind: 'leave' };

/** Token counts of a complete response. */
export interface ResponseUsage {
  readonly engine: string;
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  readonly outputTokens: number;
}

/** An action that the host of the entry core must perform. */
export type EntryEffect =
  | { readonly kind: 'send'; readonly peer: string; readonly message: Message }
  | {
      readonly kind: 'connect';
      readonly peer: string;
      readonly address: string;
      readonly port: number;
      readonly connectionNumber: number;
    }
  | { readonly kind: 'disconnect'; readonly peer: string; readonly connectionNumber: number }
  | {
      readonly kind: 'answer-start';
      readonly id: RequestId;
      readonly status: number;
      readonly contentType: string;
    }
  | { readonly kind: 'answer-chunk'; readonly id: RequestId; readonly data: string | Uint8Array }
  | { readonly kind: 'answer-end'; readonly id: RequestId; readonly usage: ResponseUsage }
  | { readonly kind: 'refuse'; readonly id: RequestId; readonly refusal: Refusal }
  | {
      readonly kind: 'claim' | 'release-claim';
      readonly id: RequestId;
      readonly tenant: string;
      readonly key: string;
    }
  | { readonly kind: 'decision'; readonly decision: Decision }
  | { readonly kind: 'measure'; readonly measurement: Measurement }
  | { readonly kind: 'left' };
