/** Messages between gateways. */
import type { FingerprintCrashes } from '../gateway/crashes/crash-tally.js';
import type { ConditionSnapshot } from '../gateway/statements/backend-condition.js';
import type { SendRightRequest } from '../gateway/statements/send-rights.js';
import type { QuotaRequest } from '../gateway/quotas/quota-charges.js';
import type { QuotaDecision } from '../gateway/quotas/quota-pools.js';
import type { PeerRolloutReports } from '../rollout/rollouts.js';
import type {
  HoldStreamOrigin,
  StreamOriginAnswer,
  StreamOriginQuery,
} from '../streams/stream-origin.js';
import type { ReplicaProgress } from './replicated-records.js';
import type { StorePosition } from './store-position.js';
import type { RecordsResponse, RecordsFetch, ReplicaProgressReport } from './record-exchange.js';

/**
 * Role of a process in the mesh: a gateway, or a process that only holds a replica of the records
 * and serves it to others.
 */
export type PeerRole = 'gateway' | 'replica';

/** First message of a process on a connection that it opened. */
export interface PeerHello {
  readonly kind: 'hello';
  readonly role: PeerRole;
  readonly name: string;
  /** Identifies one start of the process. */
  readonly incarnation: string;
  /** Address that it listens on, IP:PORT; empty if it accepts no connections. */
  readonly address: string;
  /** Its zone; missing if it is not a gateway. */
  readonly zone?: string;
  /**
   * Whether the sender has received nothing from the receiver for longer than its silence
   * threshold, so that the receiver should reopen its own connection to the sender.
   */
  readonly hearsNothing?: boolean;
}

/** Addresses of the gateways known to the sender. */
export interface PeerAddresses {
  readonly kind: 'addresses';
  readonly addresses: readonly string[];
}

/** Heartbeat of a gateway, with the progress of its replica of the store. */
export interface PeerHeartbeat {
  readonly kind: 'beat';
  /** Progress of the sender's replica. */
  readonly reach: ReplicaProgress;
  /**
   * Age of the store's state that the replica reflects, in milliseconds; missing if it has none.
   */
  readonly knowledgeAgeMs?: number | undefined;
  /** Time since the sender started, in milliseconds. */
  readonly ageMs: number;
  /** Position of the quota members record that the sender applies; `NO_POSITION` for none. */
  readonly quotaPosition: StorePosition;
  /** Whether the sender reads the store and its reads succeed. */
  readonly isReading: boolean;
  /** Region of the sender; missing if the deployment names none. */
  readonly region?: string | undefined;
  /** The sender's state in active rollouts; missing if there are none. */
  readonly rollouts?: PeerRolloutReports | undefined;
}

/** Crash counts of requests that crash backends, sent when the sender's counts have changed. */
export interface PeerCrashReports {
  readonly kind: 'crashes';
  readonly requests: readonly FingerprintCrashes[];
}

/** Conditions that backends reported of themselves, sent when the sender has newer ones. */
export interface PeerBackendConditions {
  readonly kind: 'conditions';
  readonly conditions: readonly ConditionSnapshot[];
}

/** Requests from the issuer of send rights the right to send one request to a limited backend. */
export interface PeerSendRightRequest extends SendRightRequest {
  readonly kind: 'send-right-ask';
  /** Condition of the backend as the requesting gateway knows it. */
  readonly condition?: ConditionSnapshot | undefined;
}

/** Response to a `send-right-ask`, sent on the connection on which the request arrived. */
export interface PeerSendRightResponse {
  readonly kind: 'send-right-answer';
  readonly id: number;
  readonly isGranted: boolean;
}

/** Returns an unused send right, or withdraws a request that may still be granted. */
export interface PeerSendRightReturn {
  readonly kind: 'send-right-return';
  readonly id: number;
  readonly backendId: string;
}

/** Requests that the holder of a tenant's quota pool charge a request to the pool. */
export interface PeerQuotaRequest extends QuotaRequest {
  readonly kind: 'quota-ask';
}

/** Response to a `quota-ask`, sent on the connection on which the request arrived. */
export interface PeerQuotaResponse {
  readonly kind: 'quota-answer';
  readonly id: number;
  readonly grant: QuotaDecision;
}

/** Returns an unused quota charge, or withdraws a request that may still be granted. */
export interface PeerQuotaReturn {
  readonly kind: 'quota-return';
  readonly id: number;
  readonly tenant: string;
}

/** The sender is shutting down; it may be started again. */
export interface PeerLeaving {
  readonly kind: 'leaving';
}

/** Any message between gateways. */
export type PeerMessage =
  | PeerHello
  | PeerAddresses
  | PeerHeartbeat
  | ReplicaProgressReport
  | RecordsFetch
  | RecordsResponse
  | PeerCrashReports
  | PeerBackendConditions
  | PeerSendRightRequest
  | PeerSendRightResponse
  | PeerSendRightReturn
  | PeerQuotaRequest
  | PeerQuotaResponse
  | PeerQuotaReturn
  | HoldStreamOrigin
  | StreamOriginQuery
  | StreamOriginAnswer
  | PeerLeaving;
