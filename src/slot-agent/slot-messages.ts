/** Messages between gateways and slot agents. */
import type { Service } from '../routing/configuration.js';
import type { EngineAvailability } from './engine-health.js';
import type { ProcessAnswer, ProcessQuery } from '../processes/process-query.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { RouteAndTenant } from '../routing/region-restrictions.js';
import type {
  HoldStreamOrigin,
  StreamOriginAnswer,
  StreamOriginQuery,
} from '../streams/stream-origin.js';
import type { GrantsOnlyReason } from './start-limiter.js';
import type {
  RecordsResponse,
  RecordsFetch,
  ReplicaProgressReport,
} from '../cluster/record-exchange.js';

/** Regions in which a request may be served, as stated by its gateway. */
export interface RegionConstraints {
  /** Allowed regions according to the gateway; omitted for any region. */
  readonly allowedRegions?: readonly string[];
  /**
   * Route and tenant of the request, whose regions the agent looks up in its own configuration;
   * omitted while the agent reports no `homes`.
   */
  readonly homeOwner?: RouteAndTenant;
}

/** Priority of a waiting request; times are relative, since clocks differ. */
export interface WaitingRank extends RegionConstraints {
  readonly tier: number;
  readonly rankInTier: number;
  /** How long the request has waited, in milliseconds. */
  readonly waitedMs: number;
  /**
   * Time left until the request must be sent to meet its deadline, in milliseconds; negative once
   * it is late.
   */
  readonly startInMs: number;
}

/** Cold-start settings of the backend's service. */
export type ColdStartSettings = Pick<Service, 'coldStartMs' | 'coldRequestsPerS'>;

/** First message of a gateway on a connection. */
export interface SlotHello {
  readonly kind: 'hello';
  readonly gateway: string;
  /** Zone of the gateway; if omitted, the engine's zone is assumed. */
  readonly zone?: string;
  /** Slots that the gateway's requests occupy at this backend. */
  readonly held: number;
  /** Address on which the gateway accepts peer connections, IP:PORT; may be empty. */
  readonly peersAddress: string;
  /** Slots of the backend according to its announcement. */
  readonly slots: number;
  /** Omitted if backends of the service accept any request rate from their start. */
  readonly coldStart?: ColdStartSettings;
}

/** Remaining cold time of an announcement, as counted since the gateway read it. */
export interface AnnouncedColdTime extends StorePosition {
  readonly remainingMs: number;
}

/** Requests that wait in a gateway; replaces its previous demand message. */
export interface SlotDemand {
  readonly kind: 'demand';
  /** Ranks of the first waiting requests, highest priority first. */
  readonly ranks: readonly WaitingRank[];
  /** Grants that the gateway had received when it sent this message. */
  readonly grantsSeen: number;
  /** The gateway's clock, in milliseconds; omitted if the start rate is unlimited. */
  readonly atMs?: number;
  /**
   * How much longer the backend is cold by the gateway's own findings, in milliseconds; omitted if
   * there are none.
   */
  readonly coldMs?: number;
  /** Omitted unless time is left of what the backend announced. */
  readonly announcedCold?: AnnouncedColdTime;
}

/** The gateway sent a request to the engine on a free slot without a grant. */
export interface SlotTaken extends RegionConstraints {
  readonly kind: 'taken';
}

/** The gateway gives back a slot after a request ended. */
export interface SlotReleased {
  readonly kind: 'released';
  /**
   * Whether the backend failed the request (true) or responded to it (false); undefined if neither
   * is known.
   */
  readonly hasFailed?: boolean;
  /**
   * Whether there was no response at all: the backend may hang, or the gateway's network path to it
   * be broken.
   */
  readonly isSilent?: boolean;
}

/** The engine began to respond to a trial request. */
export interface TrialResponseStarted {
  readonly kind: 'proven';
}

/** Answers the oldest unanswered grant: the gateway sent a request on it. */
export interface GrantUsed {
  readonly kind: 'grant-used';
}

/** Answers the oldest unanswered grant: the gateway does not need it. */
export interface GrantReturned {
  readonly kind: 'grant-returned';
}

/** Keepalive; sent while the gateway holds slots or has requests waiting and sends nothing else. */
export interface GatewayKeepalive {
  readonly kind: 'alive';
  /** The gateway's clock, in milliseconds. */
  readonly atMs?: number;
}

/**
 * Time from send to first event: `baseMs` plus `msPerToken` for each prompt token, in milliseconds.
 */
export interface PrefillSpeed {
  readonly baseMs: number;
  readonly msPerToken: number;
}

/** Engine speed estimated by gateways; each value is omitted until there is an estimate. */
export interface SpeedEstimates {
  readonly prefill?: PrefillSpeed;
  /** Time between two events of a stream, in milliseconds. */
  readonly eventMs?: number;
  /** Time for one unit of work, in milliseconds. */
  readonly msPerUnit?: number;
}

/** Speed estimates of a gateway; the agent forwards them to gateways that connect later. */
export interface SpeedUpdate {
  readonly kind: 'speed';
  readonly speed: SpeedEstimates;
}

/** Slot messages from a gateway to an agent. */
export type GatewaySlotMessage =
  | SlotHello
  | SlotDemand
  | SlotTaken
  | SlotReleased
  | TrialResponseStarted
  | GrantUsed
  | GrantReturned
  | GatewayKeepalive
  | SpeedUpdate;

/** All messages from a gateway to an agent. */
export type GatewayToAgent =
  | GatewaySlotMessage
  | ReplicaProgressReport
  | RecordsResponse
  | HoldStreamOrigin
  | StreamOriginQuery
  | ProcessQuery;

/** Grants one slot to the gateway. */
export interface SlotGranted {
  readonly kind: 'granted';
  /**
   * Latest reading of the gateway's own clock that the agent received, by which the gateway rejects
   * grants that are based on an outdated demand; omitted if it sent none.
   */
  readonly heardAtMs?: number;
  /** Route and tenant of the request that the slot is granted for, if the gateway stated them. */
  readonly homeOwner?: RouteAndTenant;
}

/** Region information of an agent, which gateways check before they take a free slot. */
export interface AgentRegionInfo {
  /** Region of the engine; undefined if the agent's settings do not define its zone. */
  readonly region: string | undefined;
  /** Version of the latest configuration that the agent has. */
  readonly configuration: number;
}

/** Occupied slots and health of the engine. */
export interface SlotState {
  readonly kind: 'state';
  readonly occupied: number;
  /** Number of messages of this gateway (after its hello) that are included in `occupied`. */
  readonly messagesSeen: number;
  /** Engine speed estimated by gateways. */
  readonly speed: SpeedEstimates;
  /** Share of recent requests of all gateways that failed at the engine, from 0 to 1. */
  readonly failureShare: number;
  /** Round trip time in milliseconds, measured from answers to grants; omitted if unchanged. */
  readonly roundTripMs?: number;
  /** Whether the engine may be sent requests, according to its agent. */
  readonly availability: EngineAvailability;
  /** Whether nothing listens at the engine's address; omitted for false. */
  readonly hasEnded?: boolean;
  /**
   * With `hasEnded`: every process of the engine that started before this time, on the engine's
   * clock in Unix milliseconds, has ended; omitted if the agent has seen none.
   */
  readonly endedBornBeforeMs?: number | undefined;
  /**
   * Start time of the process that answered at the engine's address last, on the engine's clock in
   * Unix milliseconds; omitted if it reports none.
   */
  readonly bornAtMs?: number | undefined;
  /** Omitted while the agent's configuration restricts no request to regions. */
  readonly homes?: AgentRegionInfo | undefined;
  /** Why slots are available by grant only; omitted while gateways may take free slots. */
  readonly grantsOnly?: GrantsOnlyReason;
  /**
   * Store position of the latest announcement of the engine whose remaining cold time the agent has
   * counted; omitted if there is none or the start rate is unlimited.
   */
  readonly countedAnnouncement?: StorePosition;
}

/** Slot messages from an agent to a gateway. */
export type AgentSlotMessage = SlotGranted | SlotState;

/** Reason sent before the agent closes the connection. */
export interface AgentRefusal {
  readonly kind: 'refused';
  readonly reason: 'hello-missing' | 'silent';
}

/** All messages from an agent to a gateway. */
export type AgentToGateway =
  AgentSlotMessage | RecordsFetch | AgentRefusal | StreamOriginAnswer | ProcessAnswer;
