/** Events that an agent core handles, and effects that it returns. */
import type { Decision, Measurement } from '../decision.js';
import type { Machine } from '../membership/machine.js';
import type { PolicyUpdate } from '../policy/replica.js';
import type { BindMessage, Frame, HelloMessage, Message } from '../protocol/messages.js';
import type { RequestId } from '../request/request-id.js';

/** Token counts and durations of a complete response. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  readonly outputTokens: number;
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Progress events of a request that was sent to the backend. */
export type EngineEvent =
  | {
      readonly kind: 'engine-started';
      readonly id: RequestId;
      readonly status: number;
      readonly contentType: string;
    }
  | { readonly kind: 'engine-chunk'; readonly id: RequestId; readonly data: string | Uint8Array }
  | { readonly kind: 'engine-ended'; readonly id: RequestId; readonly usage: EngineUsage }
  | {
      readonly kind: 'engine-failed';
      readonly id: RequestId;
      /** Whether the backend certainly never received the request. */
      readonly isNotStarted: boolean;
      readonly detail: string;
    };

/** An input of the agent core; `peer` is the incarnation of an entry. */
export type AgentEvent =
  | EngineEvent
  | { readonly kind: 'peer-connected'; readonly hello: HelloMessage }
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
  | { readonly kind: 'policy'; readonly update: PolicyUpdate }
  /** The machine list was read; `ownState` is the state it lists for this process, if any. */
  | { readonly kind: 'fleet'; readonly ownState: Machine['state'] | undefined }
  | { readonly kind: 'tick' }
  | { readonly kind: 'leave' };

/** An action that the host of the agent core must perform. */
export type AgentEffect =
  | { readonly kind: 'send'; readonly peer: string; readonly message: Message }
  | { readonly kind: 'disconnect'; readonly peer: string; readonly connectionNumber: number }
  | { readonly kind: 'engine-start'; readonly request: BindMessage }
  | { readonly kind: 'engine-pause' | 'engine-resume' | 'engine-cancel'; readonly id: RequestId }
  | { readonly kind: 'decision'; readonly decision: Decision }
  | { readonly kind: 'measure'; readonly measurement: Measurement }
  | { readonly kind: 'left' };
