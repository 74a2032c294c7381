/**
 * Selects the slot agents that hold the origin of a stream.
 *
 * A stream can continue only while backends of its version serve, so agents beside such backends
 * hold its origin: they outlive a rollout that ends the other versions together with their agents.
 */
import type { StreamOriginReport } from '../../streams/stream-origin.js';
import type { StreamKey } from '../../streams/stream-key.js';
import type { ConnectedAgent, SlotAgentLinks } from '../links/slot-agent-links.js';
import { OriginHolderRanking } from './origin-holders.js';

/** The slot agents, as far as origins need them. */
export type StreamAgents = Pick<SlotAgentLinks, 'generation' | 'connectedAgents' | 'sendToHost'>;

/** Agents of each version and of all that are asked, from the first of their ranking. */
const ASKED_PER_VERSION = 4;
/** Maximum number of agents that are asked for an origin. */
const MAX_ASKED = 16;

/** Ranks the connected agents. */
export class AgentHolders {
  private agents: readonly ConnectedAgent[] = [];
  private readonly rankings = new Map<string, OriginHolderRanking>();
  /** The agents as read last. */
  private state = '';
  private generation: number | undefined;
  private changeCount = 0;

  constructor(private readonly links: () => Pick<StreamAgents, 'generation' | 'connectedAgents'>) {}

  /** Increases whenever other agents are connected or leave, as read last. */
  get changes(): number {
    return this.changeCount;
  }

  /** Reads which agents are connected and which of them leave. */
  refresh(): void {
    const { generation, connectedAgents } = this.links();
    this.generation = generation;
    const state = connectedAgents
      .map(({ host, service, version, isLeaving }) => [host, service, version, isLeaving].join())
      .join(' ');
    if (state === this.state) {
      return;
    }
    this.state = state;
    this.changeCount += 1;
    this.agents = connectedAgents;
    this.rankings.clear();
  }

  /**
   * Returns the agents that should hold an origin, in order: those beside backends of its version
   * that stay, else those of its service that stay, else any.
   *
   * @param excludedHost - host of the engine that serves the stream
   */
  holdersOf(
    { key, service, version }: Pick<StreamOriginReport, 'key' | 'service' | 'version'>,
    excludedHost: string | undefined,
  ): string[] {
    this.refreshIfConnectionsChanged();
    const isStaying = (agent: ConnectedAgent) => !agent.isLeaving && agent.service === service;
    const preferences = [
      () =>
        this.rank(key, `staying/${service}/${version}`, (agent) => {
          return isStaying(agent) && agent.version === version;
        }),
      () => this.rank(key, `staying/${service}`, isStaying),
      () => this.rank(key, 'any', () => true),
    ];
    for (const rank of preferences) {
      const hosts = rank().filter((host) => host !== excludedHost);
      if (hosts.length > 0) {
        return hosts;
      }
    }
    return [];
  }

  /** Returns the agents to ask for the origin of a stream of one of these services. */
  askedFor(key: StreamKey, services: readonly string[]): string[] {
    this.refreshIfConnectionsChanged();
    const isOfService = ({ service }: ConnectedAgent) => services.includes(service);
    const isAsked = this.agents.some(isOfService) ? isOfService : () => true;
    const versions = new Set(this.agents.filter(isAsked).map(({ version }) => version));
    const group = `asked/${services.join()}`;
    const asked = [
      this.rank(key, group, isAsked),
      ...[...versions].map((version) =>
        this.rank(key, `${group}/${version}`, (agent) => {
          return isAsked(agent) && agent.version === version;
        }),
      ),
    ];
    const hosts = asked.flatMap((ranked) => ranked.slice(0, ASKED_PER_VERSION));
    return [...new Set(hosts)].slice(0, MAX_ASKED);
  }

  private refreshIfConnectionsChanged(): void {
    if (this.generation !== this.links().generation) {
      this.refresh();
    }
  }

  private rank(
    key: StreamKey,
    group: string,
    isMember: (agent: ConnectedAgent) => boolean,
  ): string[] {
    const ranking =
      this.rankings.get(group) ??
      new OriginHolderRanking({
        generation: 0,
        list: () => this.agents.filter(isMember).map(({ host, zone }) => ({ address: host, zone })),
      });
    this.rankings.set(group, ranking);
    return [...new Set(ranking.rank(key).map(({ address }) => address))];
  }
}
