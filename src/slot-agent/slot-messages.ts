/** What gateways and slot agents say to each other. */
import type { Service } from '../routing/configuration.js';
import type { EngineAvailability } from './engine-watch.js';
import type { HomeOwner } from '../routing/named-homes.js';
import type { GrantsOnly } from './start-limiter.js';
import type { RecordsAnswer, RecordsFetch, RecordsReach } from '../cluster/record-exchange.js';

/** What a gateway says of where a request may be served. */
export interface StatedHomes {
  /** Regions in which the request may be served, as the gateway knows; missing for any. */
  readonly allowedRegions?: readonly string[];
  /** Who may name regions for it, by which the agent looks for itself; missing while it knows of none. */
  readonly homeOwner?: HomeOwner;
}

/** What gives a waiting request its place in the order; times are relative, since clocks differ. */
export interface WaitingRank extends StatedHomes {
  readonly tier: number;
  readonly rankInTier: number;
  /** How long the request has waited, in milliseconds. */
  readonly waitedMs: number;
  /** How long it may still wait to be answered in time, in milliseconds; negative when it is late. */
  readonly startInMs: number;
}

/** What the back end's service says of slow starts. */
export type ColdStartHello = Pick<Service, 'coldStartMs' | 'coldRequestsPerS'>;

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
  /** Missing where back ends of the service bear any rate from their start. */
  readonly coldStart?: ColdStartHello;
}

/** The requests that wait in a gateway; replaces what it said before. */
export interface SlotDemand {
  readonly kind: 'demand';
  /** The first in order, best first. */
  readonly ranks: readonly WaitingRank[];
  /** Grants that the gateway had received when it said so. */
  readonly grantsSeen: number;
  /** The gateway's clock, in milliseconds; missing where the rate of starts has no bound. */
  readonly atMs?: number;
  /** How much longer the gateway takes the back end for cold, in milliseconds; missing where it does not. */
  readonly coldMs?: number;
}

/** The gateway began a request on a slot that it took for free. */
export interface SlotTaken extends StatedHomes {
  readonly kind: 'taken';
}

/** The gateway gives back a slot, since a request ended. */
export interface SlotReleased {
  readonly kind: 'released';
  /** Whether the back end failed the request or answered it; undefined where its end says neither. */
  readonly hasFailed?: boolean;
  /** Whether nothing was heard of the request: the back end may hang, or the gateway's path to it be cut. */
  readonly isSilent?: boolean;
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
  /** The gateway's clock, in milliseconds. */
  readonly atMs?: number;
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
export type GatewayToAgent = SlotMessage | RecordsReach | RecordsAnswer;

/** The agent grants one slot to the gateway. */
export interface SlotGranted {
  readonly kind: 'granted';
  /** The latest time of its own clock that the gateway had told; missing where it told none. */
  readonly heardAtMs?: number;
  /** Whose waiting request it is granted for, where the gateway stated that. */
  readonly homeOwner?: HomeOwner;
}

/** What an agent knows of homes; gateways check themselves by it. */
export interface AgentHomes {
  /** Region of the engine; undefined for a zone that the agent's settings do not hold. */
  readonly region: string | undefined;
  /** Version of the newest configuration that the agent knows. */
  readonly configuration: number;
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
  /** Whether the agent finds that nothing listens at the engine's address; missing for no. */
  readonly hasEnded?: boolean;
  /** Missing while the configuration that the agent knows names no homes. */
  readonly homes?: AgentHomes | undefined;
  /** Why free slots are only granted; missing while gateways may take them. */
  readonly grantsOnly?: GrantsOnly;
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
