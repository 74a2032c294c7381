/** Sends the origins of streams to the processes that hold them, and finds those to ask. */
import type { OpenPeer } from '../../cluster/peer-mesh.js';
import type { PeerMessage } from '../../cluster/peer-messages.js';
import type { HoldStreamOrigin, StreamOriginReport } from '../../streams/stream-origin.js';
import type { StreamKey } from '../../streams/stream-key.js';
import type { SlotAgentLinks } from '../links/slot-agent-links.js';
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

/** The slot agents, as far as origins need them. */
export type StreamAgents = Pick<SlotAgentLinks, 'generation' | 'connectedAgents' | 'sendToHost'>;

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
/** Processes of each kind that are asked for an origin, from the first of their ranking. */
const HOLDERS_ASKED = 4;
/** Selects the processes that are asked if the caller named no stream. */
const ANY_HOLDERS = '' as StreamKey;

/** Replicates origins to gateways and slot agents. */
export class OriginReplication {
  private readonly gatewayRanking: OriginHolderRanking;
  private readonly agentRanking: OriginHolderRanking;

  constructor(private readonly ports: OriginReplicationPorts) {
    const { peers, agents } = ports;
    this.gatewayRanking = new OriginHolderRanking({
      get generation() {
        return peers().peerGeneration;
      },
      list: () => peers().openPeers,
    });
    this.agentRanking = new OriginHolderRanking({
      get generation() {
        return agents().generation;
      },
      list: () => agents().connectedAgents.map(({ host, zone }) => ({ address: host, zone })),
    });
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
    const agents = this.agentRanking
      .rank(origin.key)
      .filter(({ address }) => address !== servingHost);
    const agentCopies =
      gatewayCopies < GATEWAY_COPIES ? AGENT_COPIES_WITHOUT_GATEWAYS : AGENT_COPIES;
    sendCopies(agents, agentCopies, (address) => this.ports.agents().sendToHost(address, message));
  }

  /** Returns senders to the processes that should hold an origin; without a key, to any. */
  sendersToHolders(key: StreamKey = ANY_HOLDERS): SendQuery[] {
    const gateways = this.gatewayRanking.rank(key).slice(0, HOLDERS_ASKED);
    const agents = this.agentRanking.rank(key).slice(0, HOLDERS_ASKED);
    return [
      ...gateways.map((holder) => this.gatewaySender(holder)),
      ...agents.map((holder) => this.agentSender(holder)),
    ];
  }

  /** Returns senders to the gateways that `sendersToHolders` leaves out. */
  sendersToOtherGateways(key: StreamKey): SendQuery[] {
    const asked = this.gatewayRanking.rank(key).slice(0, HOLDERS_ASKED);
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

  private agentSender({ address }: OriginHolder): SendQuery {
    return (query) => this.ports.agents().sendToHost(address, query);
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
