/** What gateways say to each other. */
import type { StoreRecord } from './replicated-records.js';

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

/** Records of the store that the sender learned. */
export interface PeerRecords {
  readonly kind: 'records';
  readonly records: readonly StoreRecord[];
}

/** Tokens that the sender let pass since it started, by tenant; also shows that it lives. */
export interface PeerUse {
  readonly kind: 'use';
  readonly used: Readonly<Record<string, number>>;
}

/** The sender stops for good, or until it is started again. */
export interface PeerLeaving {
  readonly kind: 'leaving';
}

/** Anything that a gateway says to another. */
export type PeerMessage = PeerHello | PeerAddresses | PeerRecords | PeerUse | PeerLeaving;
