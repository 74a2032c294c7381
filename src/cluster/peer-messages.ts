/** What gateways say to each other. */
import type { RequestCrashes } from '../gateway/crashes/crash-tally.js';
import type { ToldCondition } from '../gateway/statements/backend-condition.js';
import type { SendRightAsk } from '../gateway/statements/send-rights.js';
import type { QuotaAsk } from '../gateway/quotas/quota-charges.js';
import type { QuotaGrant } from '../gateway/quotas/quota-pools.js';
import type { PeerRollouts } from '../rollout/rollouts.js';
import type { ReplicaReach } from './replicated-records.js';
import type { StorePosition } from './store-position.js';
import type { RecordsAnswer, RecordsFetch, RecordsReach } from './record-exchange.js';

/**
 * What a process is to the mesh: a gateway, or the holder of a replica of the
 * records that only hands it on.
 */
export type PeerRole = 'gateway' | 'replica';

/** A process's first message on a connection that it opened. */
export interface PeerHello {
  readonly kind: 'hello';
  readonly role: PeerRole;
  readonly name: string;
  /** Differs after each start of the process. */
  readonly incarnation: string;
  /** Address that others reach it at, IP:PORT; empty for one that takes no connections. */
  readonly address: string;
  /** Zone that it stands in; missing for one that is no gateway. */
  readonly zone?: string;
  /** Whether it has long heard nothing of the process that this is said to, on whose own connection words come. */
  readonly hearsNothing?: boolean;
}

/** Addresses of other gateways that the sender knows. */
export interface PeerAddresses {
  readonly kind: 'addresses';
  readonly addresses: readonly string[];
}

/** A gateway shows that it lives, and how far its replica of the store reaches. */
export interface PeerBeat {
  readonly kind: 'beat';
  readonly reach: ReplicaReach;
  /** How long ago the store's records were as it knows them, in milliseconds; missing if it knows none. */
  readonly knowledgeAgeMs?: number | undefined;
  /** Time since the sender started, in milliseconds. */
  readonly ageMs: number;
  /** Position of the record of quota members that it follows; `NO_POSITION` for none. */
  readonly quotaPosition: StorePosition;
  /** Whether it reads the store and is answered. */
  readonly isReading: boolean;
  /** Region that it stands in; missing where the deployment names none. */
  readonly region?: string | undefined;
  /** Its part in roll-outs that are under way; missing where there are none. */
  readonly rollouts?: PeerRollouts | undefined;
}

/** What the sender knows of requests that crash back ends, where it has learned more of them. */
export interface PeerCrashes {
  readonly kind: 'crashes';
  readonly requests: readonly RequestCrashes[];
}

/** What back ends said of themselves, where the sender has learned more of it. */
export interface PeerConditions {
  readonly kind: 'conditions';
  readonly conditions: readonly ToldCondition[];
}

/** A gateway asks for the right to send one request to a back end that names a limit. */
export interface PeerSendRightAsk extends SendRightAsk {
  readonly kind: 'send-right-ask';
  /** What the asker believes of the back end. */
  readonly condition?: ToldCondition | undefined;
}

/** The answer, on the connection that the ask came on. */
export interface PeerSendRightAnswer {
  readonly kind: 'send-right-answer';
  readonly id: number;
  readonly isGranted: boolean;
}

/** A right that was granted, or may still be, was not used. */
export interface PeerSendRightReturn {
  readonly kind: 'send-right-return';
  readonly id: number;
  readonly backendId: string;
}

/** A gateway asks the holder of a tenant's pool to charge a request to it. */
export interface PeerQuotaAsk extends QuotaAsk {
  readonly kind: 'quota-ask';
}

/** The holder's answer, on the connection that the ask came on. */
export interface PeerQuotaAnswer {
  readonly kind: 'quota-answer';
  readonly id: number;
  readonly grant: QuotaGrant;
}

/** What was granted, or may still be, was not used. */
export interface PeerQuotaReturn {
  readonly kind: 'quota-return';
  readonly id: number;
  readonly tenant: string;
}

/** The sender stops for good, or until it is started again. */
export interface PeerLeaving {
  readonly kind: 'leaving';
}

/** Anything that a gateway says to another. */
export type PeerMessage =
  | PeerHello
  | PeerAddresses
  | PeerBeat
  | RecordsReach
  | RecordsFetch
  | RecordsAnswer
  | PeerCrashes
  | PeerConditions
  | PeerSendRightAsk
  | PeerSendRightAnswer
  | PeerSendRightReturn
  | PeerQuotaAsk
  | PeerQuotaAnswer
  | PeerQuotaReturn
  | PeerLeaving;
