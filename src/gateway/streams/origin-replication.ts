/** Sends the origins of streams to the processes that hold them, and finds those to ask. */
import type { OpenPeer } from '../../cluster/peer-mesh.js';
import type { PeerMessage } from '../../cluster/peer-messages.js';
import type { HoldStreamOrigin, StreamOriginReport } from '../../streams/stream-origin.js';
import type { StreamKey } from '../../streams/stream-key.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import { AgentHolders } from './agent-holders.js';
import type { StreamAgents } from './agent-holders.js';
import { OriginHolderRanking } from './origin-holders.js';
import type { OriginHolder } from './origin-holders.js';
import type { SendQuery } from './origin-queries.js';

/** The other gateways, as far as origins need them. */
export interface StreamPeers {
  /** Increases whenever `openPeers` changes. */
  readonly peerGeneration: number;
  readonly openPeers: readonly OpenPeer[];
  /** Number of known gateways, including this one. */
  readonly size: number;
  /** Whether the view of the store is stale. */
  readonly isKnowledgeOld: boolean;
  isPeerHeard(address: string): boolean;
  sendTo(address: string, message: PeerMessage): boolean;
}

/** Dependencies of `OriginReplication`. */
export interface OriginReplicationPorts {
  /** Zone of this gateway. */
  readonly zone: string;
  peers(): StreamPeers;
  agents(): StreamAgents;
}

/** Gateways that hold an origin besides the one that began the stream. */
const GATEWAY_COPIES = 2;
/** Slot agents that hold an origin, and those that do where too few gateways are connected. */
const AGENT_COPIES = 1;
const AGENT_COPIES_WITHOUT_GATEWAYS = 2;
/** Gateways that are asked for an origin, from the first of their ranking. */
const GATEWAYS_ASKED = 4;
/** Selects the processes that are asked if the caller named no stream. */
const ANY_HOLDERS = '' as StreamKey;

/** Slot agents that an origin of this gateway was sent to. */
interface AgentPlacement {
  readonly service: string;
  readonly version: SoftwareVersion;
  readonly servingHost: string | undefined;
  hosts: readonly string[];
}

/** Replicates origins to gateways and slot agents. */
export class OriginReplication {
  private readonly gatewayRanking: OriginHolderRanking;
  private readonly agentHolders: AgentHolders;
  /** Changes of the agents that `replaceAgents` has handled. */
  private handledChanges = 0;
  private readonly placements = new Map<StreamKey, AgentPlacement>();

  constructor(private readonly ports: OriginReplicationPorts) {
    const { peers, agents } = ports;
    this.gatewayRanking = new OriginHolderRanking({
      get generation() {
        return peers().peerGeneration;
      },
      list: () => peers().openPeers,
    });
    this.agentHolders = new AgentHolders(agents);
  }

  /**
   * Sends an origin to its holders.
   *
   * @param servingHost - host of the engine that serves the stream, whose agent may be lost together
   *   with it; undefined if it is not chosen yet
   */
  replicate(origin: StreamOriginReport, servingHost: string | undefined): void {
    const message: HoldStreamOrigin = { kind: 'stream-began', origin };
    const gatewayCopies = sendCopies(this.gatewaysFor(origin.key), GATEWAY_COPIES, (address) =>
      this.ports.peers().sendTo(address, message),
    );
    const agentCopies =
      gatewayCopies < GATEWAY_COPIES ? AGENT_COPIES_WITHOUT_GATEWAYS : AGENT_COPIES;
    const { service, version } = origin;
    const hosts = this.agentHolders.holdersOf(origin, servingHost).slice(0, agentCopies);
    const sent = hosts.filter((host) => this.ports.agents().sendToHost(host, message));
    this.placements.set(origin.key, { service, version, servingHost, hosts: sent });
  }

  /**
   * Sends origins to other agents where those that held them left or begin to leave, or where other
   * agents are first in the ranking now; to be called periodically.
   *
   * @param reportOf - returns an origin that this gateway holds; undefined once it has expired
   * @returns number of origins sent
   */
  replaceAgents(reportOf: (key: StreamKey) => StreamOriginReport | undefined): number {
    this.agentHolders.refresh();
    if (this.agentHolders.changes === this.handledChanges) {
      return 0;
    }
    this.handledChanges = this.agentHolders.changes;
    let moved = 0;
    for (const [key, placement] of this.placements) {
      const { service, version, servingHost } = placement;
      const copies = Math.max(placement.hosts.length, AGENT_COPIES);
      const hosts = this.agentHolders
        .holdersOf({ key, service, version }, servingHost)
        .slice(0, copies);
      const added = hosts.filter((host) => !placement.hosts.includes(host));
      const origin = added.length === 0 ? undefined : reportOf(key);
      if (origin !== undefined) {
        const message: HoldStreamOrigin = { kind: 'stream-began', origin };
        added.forEach((host) => this.ports.agents().sendToHost(host, message));
        placement.hosts = hosts;
        moved += 1;
      }
    }
    return moved;
  }

  /** Forgets where origins were sent that `isHeld` no longer holds. */
  removeExpired(isHeld: (key: StreamKey) => boolean): void {
    for (const key of this.placements.keys()) {
      if (!isHeld(key)) {
        this.placements.delete(key);
      }
    }
  }

  /**
   * Returns senders to the processes that should hold an origin of one of these services; without a
   * key, to any.
   */
  sendersToHolders(services: readonly string[], key: StreamKey = ANY_HOLDERS): SendQuery[] {
    const gateways = this.gatewayRanking.rank(key).slice(0, GATEWAYS_ASKED);
    const agents = this.agentHolders.askedFor(key, services);
    return [
      ...gateways.map((holder) => this.gatewaySender(holder)),
      ...agents.map((host) => this.agentSender(host)),
    ];
  }

  /** Returns senders to the gateways that `sendersToHolders` leaves out. */
  sendersToOtherGateways(key: StreamKey): SendQuery[] {
    const asked = this.gatewayRanking.rank(key).slice(0, GATEWAYS_ASKED);
    const askedAddresses = new Set(asked.map(({ address }) => address));
    return this.ports
      .peers()
      .openPeers.filter(({ address }) => !askedAddresses.has(address))
      .map((holder) => this.gatewaySender(holder));
  }

  /** Returns the gateways that respond, those in other zones first. */
  private gatewaysFor(key: StreamKey): OriginHolder[] {
    const { peers, zone } = this.ports;
    const heard = this.gatewayRanking
      .rank(key)
      .filter(({ address }) => peers().isPeerHeard(address));
    return [
      ...heard.filter((gateway) => gateway.zone !== zone),
      ...heard.filter((gateway) => gateway.zone === zone),
    ];
  }

  private gatewaySender({ address }: OriginHolder): SendQuery {
    return (query) => this.ports.peers().sendTo(address, query);
  }

  private agentSender(host: string): SendQuery {
    return (query) => this.ports.agents().sendToHost(host, query);
  }
}

/** Sends to holders in order until `count` of them are connected; returns how many were. */
function sendCopies(
  holders: readonly OriginHolder[],
  count: number,
  send: (address: string) => boolean,
): number {
  let sent = 0;
  for (const { address } of holders) {
    if (sent >= count) {
      break;
    }
    sent += send(address) ? 1 : 0;
  }
  return sent;
}
