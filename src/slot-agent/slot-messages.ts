/** What gateways and slot agents say to each other. */
import type { EngineAvailability } from './engine-watch.js';
import type { RecordsAnswer, RecordsFetch, RecordsRevision } from '../cluster/record-exchange.js';

/** What gives a waiting request its place in the order; times are relative, since clocks differ. */
export interface WaitingRank {
  readonly tier: number;
  readonly rankInTier: number;
  /** How long the request has waited, in milliseconds. */
  readonly waitedMs: number;
  /** How long it may still wait to be answered in time, in milliseconds; negative when it is late. */
  readonly startInMs: number;
  /** Regions in which the request may be served; missing for any. */
  readonly allowedRegions?: readonly string[];
}

/** A gateway's first message on a connection. */
export interface SlotHello {
  readonly kind: 'hello';
  readonly gateway: string;
  /** Zone of the gateway; missing where it is not told: it is taken to be the engine's. */
  readonly zone?: string;
  /** Slots that the gateway's requests occupy at this back end. */
  readonly held: number;
  /** Address that the gateway takes connections of peers at, IP:PORT; may be empty. */
  readonly peersAddress: string;
  /** Slots of the back end, as it announced them. */
  readonly slots: number;
}

/** The requests that wait in a gateway; replaces what it said before. */
export interface SlotDemand {
  readonly kind: 'demand';
  /** The first in order, best first. */
  readonly ranks: readonly WaitingRank[];
  /** Grants that the gateway had received when it said so. */
  readonly grantsSeen: number;
}

/** The gateway began a request on a slot that it took for free. */
export interface SlotTaken {
  readonly kind: 'taken';
}

/** The gateway gives back a slot, since a request ended. */
export interface SlotReleased {
  readonly kind: 'released';
  /** Whether the back end failed the request or answered it; undefined where its end says neither. */
  readonly hasFailed?: boolean;
}

/** The engine on trial has begun to answer. */
export interface EngineProven {
  readonly kind: 'proven';
}

/** The gateway bound a request to the oldest grant that it had not answered. */
export interface GrantUsed {
  readonly kind: 'grant-used';
}

/** The gateway has no use for the oldest grant that it had not answered. */
export interface GrantReturned {
  readonly kind: 'grant-returned';
}

/** The gateway lives; sent while it holds slots or has requests waiting and nothing else was sent. */
export interface GatewayAlive {
  readonly kind: 'alive';
}

/** Time from a send to the first event: `baseMs` and `msPerToken` for each token of the prompt, in milliseconds. */
export interface PrefillSpeed {
  readonly baseMs: number;
  readonly msPerToken: number;
}

/** What gateways learned of an engine's speed; each value is missing until something was learned. */
export interface LearnedSpeed {
  readonly prefill?: PrefillSpeed;
  /** Pause between two events of a stream, in milliseconds. */
  readonly eventMs?: number;
  /** Time for one unit of work, in milliseconds. */
  readonly msPerUnit?: number;
}

/** What a gateway has learned so far; the agent hands it to gateways that start. */
export interface SpeedLearned {
  readonly kind: 'speed';
  readonly speed: LearnedSpeed;
}

/** Anything that a gateway says of slots. */
export type SlotMessage =
  | SlotHello
  | SlotDemand
  | SlotTaken
  | SlotReleased
  | EngineProven
  | GrantUsed
  | GrantReturned
  | GatewayAlive
  | SpeedLearned;

/** Anything that a gateway says. */
export type GatewayToAgent = SlotMessage | RecordsRevision | RecordsAnswer;

/** The agent grants one slot to the gateway. */
export interface SlotGranted {
  readonly kind: 'granted';
}

/** How many slots are occupied. */
export interface SlotState {
  readonly kind: 'state';
  readonly occupied: number;
  /** Messages of this gateway (after its hello) that the count reflects. */
  readonly messagesSeen: number;
  /** What gateways learned of the engine. */
  readonly speed: LearnedSpeed;
  /** Share of the requests of all gateways that failed there lately, from 0 to 1. */
  readonly failureShare: number;
  /** Time of a message there and back, as the answers to grants showed; missing where it is no news. */
  readonly roundTripMs?: number;
  /** Whether the engine may be used, as the agent beside it sees. */
  readonly availability: EngineAvailability;
}

/** Anything that an agent says of slots. */
export type SlotAnswer = SlotGranted | SlotState;

/** The agent closes the connection. */
export interface AgentRefusal {
  readonly kind: 'refused';
  readonly reason: 'hello-missing' | 'silent';
}

/** Anything that an agent says. */
export type AgentToGateway = SlotAnswer | RecordsFetch | AgentRefusal;
