/** A gateway's connections to the agents beside engines. */
import { connect } from 'node:net';
import type { RecordExchange } from '../../cluster/record-exchange.js';
import { isFurther, NO_REACH } from '../../cluster/replicated-records.js';
import type { ReplicatedRecords } from '../../cluster/replicated-records.js';
import type { Clock } from '../../clock.js';
import { MessageChannel } from '../../protocol/message-channel.js';
import type {
  AgentRefusal,
  AgentToGateway,
  ColdStartHello,
  GatewayToAgent,
} from '../../slot-agent/slot-messages.js';
import type { BackendDirectory } from '../dispatch/backend-directory.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { splitAddress } from '../../address.js';
import type { KnownBackend } from '../dispatch/known-backend.js';
import type { PathState } from '../dispatch/path-state.js';

/** Times of the connections, in milliseconds. */
export interface SlotAgentLinkOptions {
  /** Port that agents listen on, on the machine of their back end. */
  readonly port: number;
  /** Address that this gateway takes connections of peers at, IP:PORT. */
  readonly peersAddress: string;
  /** Zone of this gateway. */
  readonly zone: string;
  /** Silence after which a connection is given up; agents speak each 300 ms. Default 1,000. */
  readonly silenceMs: number;
  /**
   * Shortest time in which a connection that does not come up is given up, in milliseconds; it grows with the
   * pause before the next one. Default 300: many round trips, and below the second after which the system
   * asks again, so that a path that is back is found by the next connection.
   */
  readonly connectMinMs: number;
  /** Quiet time after which an agent is shown that this gateway lives. Default 150. */
  readonly aliveMs: number;
  /** First and longest pause before connecting again. Defaults 250 and 4,000. */
  readonly retryMinMs: number;
  readonly retryMaxMs: number;
  /** Longest such pause while the path is suspect: its return is to be found soon. Default 1,000. */
  readonly suspectRetryMaxMs: number;
}

/** Defaults of the connections' times. */
export const DEFAULT_SLOT_AGENT_LINK_OPTIONS = {
  silenceMs: 1_000,
  connectMinMs: 300,
  aliveMs: 150,
  retryMinMs: 250,
  retryMaxMs: 4_000,
  suspectRetryMaxMs: 1_000,
} as const;

interface Link {
  readonly backendId: string;
  readonly host: string;
  channel: MessageChannel<GatewayToAgent, AgentToGateway> | undefined;
  isGreeted: boolean;
  heardAtMs: number;
  spokeAtMs: number;
  retryAtMs: number;
  retryMs: number;
  /** Why the agent ended the connection, where it said so. */
  refusal: AgentRefusal['reason'] | undefined;
  /** What the connection that ended last says of the path. */
  lastEnd: LinkEnd;
  /** Whether the agent ended the last connection since it had heard nothing of this gateway. */
  isUnheard: boolean;
}

/** What the end of a connection says of the path. */
type LinkEnd =
  /** The other machine ended or refused it: the path stands, though no agent may be there. */
  | 'answered'
  /** Nothing was heard for too long. */
  | 'silent'
  /** Nothing. */
  | 'unknown';

/** Errors by which the other machine answered. */
const ANSWER_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EPIPE']);

/** A connection to the agent beside a back end came up, or was lost; `reason` is what the agent said. */
export type OnAgent = (backendId: string, isConnected: boolean, reason?: string) => void;

/** A gateway's connections to agents. */
export class SlotAgentLinks {
  private readonly links = new Map<string, Link>();
  private toldReach = NO_REACH;

  constructor(
    private readonly gatewayName: string,
    private readonly directory: BackendDirectory,
    private readonly dispatcher: () => Dispatcher,
    private readonly records: ReplicatedRecords,
    private readonly exchange: RecordExchange,
    private readonly isEngine: (service: string) => boolean,
    private readonly coldStartOf: (service: string) => ColdStartHello | undefined,
    private readonly onAgent: OnAgent,
    private readonly clock: Clock,
    private readonly options: SlotAgentLinkOptions,
  ) {}

  /** Sends a message to the agent beside a back end. */
  send(backendId: string, message: GatewayToAgent): void {
    const link = this.links.get(backendId);
    if (link !== undefined) {
      link.spokeAtMs = this.clock.now();
      link.channel?.send(message);
    }
  }

  /** Shows agents that hold or owe this gateway slots that it lives; to be called each tick. */
  tellAlive(): void {
    const nowMs = this.clock.now();
    for (const link of this.links.values()) {
      const isQuiet = nowMs - link.spokeAtMs >= this.options.aliveMs;
      const known = this.directory.find(link.backendId);
      const isAtWork = known !== undefined && (known.outstanding > 0 || known.hasDemand);
      if (link.isGreeted && isQuiet && isAtWork) {
        // The agent counts it as any other message.
        if (known.agent !== undefined) {
          known.agent.messagesSent += 1;
        }
        this.send(link.backendId, { kind: 'alive', atMs: nowMs });
      }
    }
  }

  /** Tells every agent how far the replica of the store reaches, if that changed. */
  tellReach(): void {
    const { reach } = this.records;
    if (!isFurther(reach, this.toldReach)) {
      return;
    }
    this.toldReach = reach;
    for (const { channel, isGreeted } of this.links.values()) {
      if (isGreeted) {
        channel?.send({ kind: 'reach', reach });
      }
    }
  }

  /**
   * Opens and closes connections as back ends come and go; to be called now and then. Whatever arrived up to
   * `readUpToMs` has been read, so that silence is counted up to then: a word may lie unread since.
   */
  maintain(readUpToMs: number): void {
    const nowMs = this.clock.now();
    const wanted = new Set<string>();
    for (const known of this.directory.list()) {
      const { backend } = known;
      if (isWorkedWith(known) && this.isEngine(backend.service)) {
        wanted.add(backend.id);
        this.keep(backend.id, splitAddress(backend.address).host, nowMs, readUpToMs);
      }
    }
    for (const [backendId, link] of this.links) {
      if (!wanted.has(backendId)) {
        this.links.delete(backendId);
        link.channel?.close();
      }
    }
  }

  /** Ends every connection. */
  stop(): void {
    for (const link of this.links.values()) {
      link.channel?.flush();
      link.channel?.close();
    }
  }

  private keep(backendId: string, host: string, nowMs: number, readUpToMs: number): void {
    const { retryMinMs: retryMs } = this.options;
    const link: Link = this.links.get(backendId) ?? {
      backendId,
      host,
      channel: undefined,
      isGreeted: false,
      heardAtMs: nowMs,
      spokeAtMs: nowMs,
      retryAtMs: nowMs,
      retryMs,
      refusal: undefined,
      lastEnd: 'unknown',
      isUnheard: false,
    };
    this.links.set(backendId, link);
    if (link.channel === undefined) {
      if (nowMs >= link.retryAtMs) {
        this.open(link);
      }
    } else if (readUpToMs - link.heardAtMs > this.silenceLimitMs(link)) {
      link.lastEnd = 'silent';
      link.channel.close();
    }
  }

  private silenceLimitMs({ isGreeted, retryMs }: Link): number {
    const { silenceMs, connectMinMs } = this.options;
    return isGreeted ? silenceMs : Math.min(silenceMs, Math.max(connectMinMs, retryMs));
  }

  private open(link: Link): void {
    const socket = connect(this.options.port, link.host);
    const openedAtMs = this.clock.now();
    link.heardAtMs = openedAtMs;
    link.lastEnd = 'unknown';
    socket.once('end', () => (link.lastEnd = 'answered'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => {
      link.lastEnd = ANSWER_CODES.has(code ?? '') ? 'answered' : 'silent';
    });
    const channel = new MessageChannel<GatewayToAgent, AgentToGateway>(socket, {
      onMessage: (message) => {
        link.heardAtMs = this.clock.now();
        this.pathOf(link)?.noteHeard(link.heardAtMs);
        if (message.kind === 'fetch') {
          channel.send(this.exchange.answer(message));
          return;
        }
        if (message.kind === 'refused') {
          link.refusal = message.reason;
          channel.close();
          return;
        }
        this.dispatcher().receiveFromAgent(link.backendId, message, link.heardAtMs);
      },
      onClose: () => this.close(link, channel),
    });
    link.channel = channel;
    socket.once('connect', () => {
      this.directory.find(link.backendId)?.roundTrip.learn(this.clock.now() - openedAtMs);
      this.greet(link, channel);
    });
  }

  private greet(link: Link, channel: MessageChannel<GatewayToAgent, AgentToGateway>): void {
    const known = this.directory.find(link.backendId);
    if (known === undefined || link.channel !== channel) {
      channel.close();
      return;
    }
    link.retryMs = this.options.retryMinMs;
    link.isUnheard = false;
    const { outstanding: held, backend } = known;
    const { peersAddress, zone } = this.options;
    const { slots } = backend;
    const hello = {
      kind: 'hello',
      gateway: this.gatewayName,
      zone,
      peersAddress,
      held,
      slots,
    } as const;
    const coldStart = this.coldStartOf(backend.service);
    channel.send(coldStart === undefined ? hello : { ...hello, coldStart });
    channel.send({ kind: 'reach', reach: this.records.reach });
    link.isGreeted = true;
    this.onAgent(link.backendId, true);
    this.dispatcher().connectAgent(link.backendId, this.clock.now());
  }

  private close(link: Link, channel: MessageChannel<GatewayToAgent, AgentToGateway>): void {
    if (link.channel !== channel) {
      return;
    }
    link.channel = undefined;
    this.notePath(link);
    if (link.isGreeted) {
      link.isGreeted = false;
      this.onAgent(link.backendId, false, link.refusal);
    }
    const nowMs = this.clock.now();
    // An agent that closed a connection itself lives: the next one may be opened at once.
    link.retryAtMs = link.refusal === undefined ? nowMs + link.retryMs : nowMs;
    link.isUnheard ||= link.refusal === 'silent';
    link.refusal = undefined;
    link.retryMs = Math.min(link.retryMs * 2, this.longestRetryMs(link));
    this.dispatcher().disconnectAgent(link.backendId, nowMs);
  }

  /**
   * A connection that stood and fell silent speaks against the path. One that does not come up does so only
   * after the agent has complained of silence: otherwise there may be no machine at all.
   */
  private notePath(link: Link): void {
    if (this.links.get(link.backendId) !== link) {
      return;
    }
    if (link.lastEnd === 'answered') {
      this.pathOf(link)?.noteHeard(this.clock.now());
    } else if (link.lastEnd === 'silent' && (link.isGreeted || link.isUnheard)) {
      this.pathOf(link)?.noteAgentSilent();
    }
  }

  private longestRetryMs(link: Link): number {
    const { retryMaxMs, suspectRetryMaxMs } = this.options;
    const path = this.pathOf(link);
    return path?.isAgentSilent === true || path?.isSuspect === true
      ? suspectRetryMaxMs
      : retryMaxMs;
  }

  private pathOf({ backendId }: Link): PathState | undefined {
    return this.directory.find(backendId)?.path;
  }
}

/**
 * Requests that still run at an engine are accounted for also after it is no longer assigned, and one that
 * fell silent is looked for.
 */
function isWorkedWith(known: KnownBackend): boolean {
  const { isCurrent, isAssigned, outstanding, path } = known;
  return isCurrent && (isAssigned || outstanding > 0 || path.isAgentSilent);
}
