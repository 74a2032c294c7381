/** What gateways say to each other. */
import type { RequestCrashes } from '../gateway/crashes/crash-tally.js';
import type { PeerRollouts } from '../rollout/rollouts.js';
import type { RecordsAnswer, RecordsFetch, RecordsRevision } from './record-exchange.js';

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
}

/** Addresses of other gateways that the sender knows. */
export interface PeerAddresses {
  readonly kind: 'addresses';
  readonly addresses: readonly string[];
}

/** A gateway shows that it lives, what it let pass, and how far its replica of the store reaches. */
export interface PeerBeat {
  readonly kind: 'beat';
  /** Tokens that it let pass since it started, by tenant; tenants that are left out used no more. */
  readonly used: Readonly<Record<string, number>>;
  /** Time since the sender started, in milliseconds. */
  readonly ageMs: number;
  /** Revision of the store through which its records are complete. */
  readonly revision: number;
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

/** The sender stops for good, or until it is started again. */
export interface PeerLeaving {
  readonly kind: 'leaving';
}

/** Anything that a gateway says to another. */
export type PeerMessage =
  | PeerHello
  | PeerAddresses
  | PeerBeat
  | RecordsRevision
  | RecordsFetch
  | RecordsAnswer
  | PeerCrashes
  | PeerLeaving;
