/** A gateway's connections to the slot agents that run beside engines. */
import { connect } from 'node:net';
import type { RecordExchange } from '../../cluster/record-exchange.js';
import { isAheadOf, NO_PROGRESS } from '../../cluster/replicated-records.js';
import type { ReplicatedRecords } from '../../cluster/replicated-records.js';
import type { Clock } from '../../clock.js';
import { MessageChannel } from '../../protocol/message-channel.js';
import type {
  AgentRefusal,
  AgentToGateway,
  ColdStartSettings,
  GatewayToAgent,
} from '../../slot-agent/slot-messages.js';
import type { BackendDirectory } from '../dispatch/backend-directory.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type {
  HoldStreamOrigin,
  StreamOriginAnswer,
  StreamOriginQuery,
} from '../../streams/stream-origin.js';
import { softwareVersionOf } from '../../streams/software-version.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import { splitAddress } from '../../address.js';
import type { ProcessAnswer } from '../../processes/process-query.js';
import type { KnownBackend } from '../dispatch/known-backend.js';
import type { PathState } from '../dispatch/path-state.js';

/** Addresses and timeouts of the connections; times in milliseconds. */
export interface SlotAgentLinkOptions {
  /** Port that agents listen on, on the host of their backend. */
  readonly port: number;
  /** Peer address of this gateway, IP:PORT. */
  readonly peersAddress: string;
  /** Zone of this gateway. */
  readonly zone: string;
  /** Silence after which a connection is closed; agents send every 300 ms. Default 1,000. */
  readonly silenceMs: number;
  /**
   * Minimum connect timeout, in milliseconds; it grows with the reconnect backoff. Default 300:
   * many round trips, and below the second after which the kernel retransmits a SYN, so that the
   * next connection detects a recovered path.
   */
  readonly connectMinMs: number;
  /** Idle time after which an agent is sent a keepalive. Default 150. */
  readonly aliveMs: number;
  /** Initial and maximum reconnect backoff. Defaults 250 and 4,000. */
  readonly retryMinMs: number;
  readonly retryMaxMs: number;
  /**
   * Maximum backoff while the path is suspect, so that its recovery is detected soon. Default
   * 1,000.
   */
  readonly suspectRetryMaxMs: number;
}

/** Default timeouts of the connections. */
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
  isEstablished: boolean;
  lastReceivedAtMs: number;
  lastSentAtMs: number;
  retryAtMs: number;
  retryMs: number;
  /** Reason that the agent sent before it closed the connection, if any. */
  refusal: AgentRefusal['reason'] | undefined;
  /** Evidence about the path from the end of the last connection. */
  lastEnd: PathEvidence;
  /** Whether, since the last hello, the agent closed a connection because it received nothing. */
  wasReportedSilent: boolean;
  /** State that was reported last. */
  reported: AgentConnectionState | undefined;
  /** Queries on this connection that the agent has not answered, by id. */
  readonly processQueries: Map<number, (answer: ProcessAnswer) => void>;
}

/** Evidence about the path from the end of a connection. */
type PathEvidence =
  /** The remote host closed or refused it: the path works, though no agent may be running. */
  | 'answered'
  /** Nothing was received for too long, or an error other than a response occurred. */
  | 'silent'
  /** No evidence. */
  | 'unknown';

/** Errors that prove a response of the remote host. */
const PEER_RESPONSE_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EPIPE']);

/** State of the connection to a backend's agent. */
export type AgentConnectionState =
  | 'connected'
  | 'lost'
  /** It could not be established. */
  | 'unreachable';

/**
 * Called when the connection to a backend's agent changes its state. `reason` is the one that the
 * agent sent, or how an attempt to connect ended.
 */
export type OnAgentConnection = (
  backendId: string,
  state: AgentConnectionState,
  reason?: string,
) => void;

/** An agent that is connected. */
export interface ConnectedAgent {
  readonly host: string;
  /** Zone, service and version of a backend on its machine. */
  readonly zone: string;
  readonly service: string;
  readonly version: SoftwareVersion;
  /** Whether the backend accepts no new requests, so that the agent may soon end. */
  readonly isLeaving: boolean;
}

/** Maintains a gateway's connections to slot agents. */
export class SlotAgentLinks {
  private readonly links = new Map<string, Link>();
  private lastSentProgress = NO_PROGRESS;
  private connectedGeneration = 0;
  private nextQueryId = 1;

  constructor(
    private readonly gatewayName: string,
    private readonly directory: BackendDirectory,
    private readonly dispatcher: () => Dispatcher,
    private readonly records: ReplicatedRecords,
    private readonly exchange: RecordExchange,
    private readonly isEngine: (service: string) => boolean,
    private readonly coldStartOf: (service: string) => ColdStartSettings | undefined,
    private readonly onAgent: OnAgentConnection,
    private readonly onStreamAnswer: (answer: StreamOriginAnswer) => void,
    private readonly clock: Clock,
    private readonly options: SlotAgentLinkOptions,
  ) {}

  /** Sends a message to a backend's agent. */
  send(backendId: string, message: GatewayToAgent): void {
    const link = this.links.get(backendId);
    if (link !== undefined) {
      link.lastSentAtMs = this.clock.now();
      link.channel?.send(message);
    }
  }

  /** Increases whenever `connectedAgents` changes. */
  get generation(): number {
    return this.connectedGeneration;
  }

  /** The connected agents, once for each backend on their machines that is listed. */
  get connectedAgents(): ConnectedAgent[] {
    const established = [...this.links.values()].filter(({ isEstablished }) => isEstablished);
    const hosts = new Set(established.map(({ host }) => host));
    return this.directory
      .list()
      .filter(({ isCurrent }) => isCurrent)
      .map(({ backend, isReady }) => ({
        host: splitAddress(backend.address).host,
        zone: backend.zone,
        service: backend.service,
        version: softwareVersionOf(backend),
        isLeaving: !isReady,
      }))
      .filter(({ host }) => hosts.has(host));
  }

  /**
   * Sends a message that does not concern slots to the agent on `host`; returns false if it is not
   * connected.
   */
  sendToHost(host: string, message: HoldStreamOrigin | StreamOriginQuery): boolean {
    for (const link of this.links.values()) {
      if (link.host === host && link.isEstablished) {
        link.channel?.send(message);
        return true;
      }
    }
    return false;
  }

  /**
   * Asks the agent of a backend which process listens at its engine's address; returns false if the
   * agent is not connected. `onAnswer` is not called if the connection ends first.
   */
  askProcess(backendId: string, onAnswer: (answer: ProcessAnswer) => void): boolean {
    const link = this.links.get(backendId);
    if (link?.isEstablished !== true) {
      return false;
    }
    const id = this.nextQueryId;
    this.nextQueryId += 1;
    link.processQueries.set(id, onAnswer);
    link.channel?.send({ kind: 'process-ask', id });
    return true;
  }

  /**
   * Sends keepalives on idle connections to agents at which this gateway has outstanding or waiting
   * requests; to be called each tick.
   */
  sendKeepalives(): void {
    const nowMs = this.clock.now();
    for (const link of this.links.values()) {
      const isIdle = nowMs - link.lastSentAtMs >= this.options.aliveMs;
      const known = this.directory.find(link.backendId);
      const isInUse = known !== undefined && (known.outstanding > 0 || known.hasDemand);
      if (link.isEstablished && isIdle && isInUse) {
        // The agent includes keepalives in its message count.
        if (known.agent !== undefined) {
          known.agent.messagesSent += 1;
        }
        this.send(link.backendId, { kind: 'alive', atMs: nowMs });
      }
    }
  }

  /** Sends every connected agent the replication position of this gateway, if it advanced. */
  broadcastReach(): void {
    const { progress } = this.records;
    if (!isAheadOf(progress, this.lastSentProgress)) {
      return;
    }
    this.lastSentProgress = progress;
    for (const { channel, isEstablished } of this.links.values()) {
      if (isEstablished) {
        channel?.send({ kind: 'reach', reach: progress });
      }
    }
  }

  /**
   * Opens and closes connections as backends come and go; to be called periodically. All input up
   * to `readUpToMs` has been read, so that silence is measured up to then: later messages may still
   * be unread.
   */
  maintain(readUpToMs: number): void {
    const nowMs = this.clock.now();
    const wanted = new Set<string>();
    for (const known of this.directory.list()) {
      const { backend } = known;
      if (needsLink(known) && this.isEngine(backend.service)) {
        wanted.add(backend.id);
        this.maintainLink(backend.id, splitAddress(backend.address).host, nowMs, readUpToMs);
      }
    }
    for (const [backendId, link] of this.links) {
      if (!wanted.has(backendId)) {
        this.links.delete(backendId);
        this.connectedGeneration += 1;
        link.channel?.close();
      }
    }
  }

  /** Flushes and closes every connection. */
  stop(): void {
    for (const link of this.links.values()) {
      link.channel?.flush();
      link.channel?.close();
    }
  }

  private maintainLink(backendId: string, host: string, nowMs: number, readUpToMs: number): void {
    const { retryMinMs: retryMs } = this.options;
    const link: Link = this.links.get(backendId) ?? {
      backendId,
      host,
      channel: undefined,
      isEstablished: false,
      lastReceivedAtMs: nowMs,
      lastSentAtMs: nowMs,
      retryAtMs: nowMs,
      retryMs,
      refusal: undefined,
      lastEnd: 'unknown',
      wasReportedSilent: false,
      reported: undefined,
      processQueries: new Map(),
    };
    this.links.set(backendId, link);
    if (link.channel === undefined) {
      if (nowMs >= link.retryAtMs) {
        this.open(link);
      }
    } else if (readUpToMs - link.lastReceivedAtMs > this.silenceLimitMs(link)) {
      link.lastEnd = 'silent';
      link.channel.close();
    }
  }

  private silenceLimitMs({ isEstablished, retryMs }: Link): number {
    const { silenceMs, connectMinMs } = this.options;
    return isEstablished ? silenceMs : Math.min(silenceMs, Math.max(connectMinMs, retryMs));
  }

  private open(link: Link): void {
    const socket = connect(this.options.port, link.host);
    const openedAtMs = this.clock.now();
    link.lastReceivedAtMs = openedAtMs;
    link.lastEnd = 'unknown';
    socket.once('end', () => (link.lastEnd = 'answered'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => {
      link.lastEnd = PEER_RESPONSE_CODES.has(code ?? '') ? 'answered' : 'silent';
    });
    const channel = new MessageChannel<GatewayToAgent, AgentToGateway>(socket, {
      onMessage: (message) => {
        link.lastReceivedAtMs = this.clock.now();
        this.pathOf(link)?.noteActivity(link.lastReceivedAtMs);
        if (message.kind === 'fetch') {
          channel.send(this.exchange.handleFetch(message));
          return;
        }
        if (message.kind === 'stream-answer') {
          this.onStreamAnswer(message);
          return;
        }
        if (message.kind === 'process-answer') {
          link.processQueries.get(message.id)?.(message);
          link.processQueries.delete(message.id);
          return;
        }
        if (message.kind === 'refused') {
          link.refusal = message.reason;
          channel.close();
          return;
        }
        this.dispatcher().receiveFromAgent(link.backendId, message, link.lastReceivedAtMs);
      },
      onClose: () => this.close(link, channel),
    });
    link.channel = channel;
    socket.once('connect', () => {
      this.directory.find(link.backendId)?.roundTrip.addSample(this.clock.now() - openedAtMs);
      this.sendHello(link, channel);
    });
  }

  private sendHello(link: Link, channel: MessageChannel<GatewayToAgent, AgentToGateway>): void {
    const known = this.directory.find(link.backendId);
    if (known === undefined || link.channel !== channel) {
      channel.close();
      return;
    }
    link.retryMs = this.options.retryMinMs;
    link.wasReportedSilent = false;
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
    channel.send({ kind: 'reach', reach: this.records.progress });
    link.isEstablished = true;
    this.connectedGeneration += 1;
    this.report(link, 'connected');
    this.dispatcher().connectAgent(link.backendId, this.clock.now());
  }

  private close(link: Link, channel: MessageChannel<GatewayToAgent, AgentToGateway>): void {
    if (link.channel !== channel) {
      return;
    }
    link.channel = undefined;
    link.processQueries.clear();
    this.updatePath(link);
    if (link.isEstablished) {
      this.connectedGeneration += 1;
      link.isEstablished = false;
      this.report(link, 'lost', link.refusal);
    } else if (link.reported === undefined) {
      this.report(link, 'unreachable', link.lastEnd);
    }
    const nowMs = this.clock.now();
    // An agent that closed the connection with a reason is alive: reconnect at once.
    link.retryAtMs = link.refusal === undefined ? nowMs + link.retryMs : nowMs;
    link.wasReportedSilent ||= link.refusal === 'silent';
    link.refusal = undefined;
    link.retryMs = Math.min(link.retryMs * 2, this.maxRetryMs(link));
    this.dispatcher().disconnectAgent(link.backendId, nowMs);
  }

  /**
   * Updates the path state from the end of a connection. Silence on an established connection
   * counts against the path; a connect timeout does so only after the agent reported this gateway
   * as silent, since otherwise the host may not exist.
   */
  private updatePath(link: Link): void {
    if (this.links.get(link.backendId) !== link) {
      return;
    }
    if (link.lastEnd === 'answered') {
      this.pathOf(link)?.noteActivity(this.clock.now());
    } else if (link.lastEnd === 'silent' && (link.isEstablished || link.wasReportedSilent)) {
      this.pathOf(link)?.noteAgentTimeout();
    }
  }

  private report(link: Link, state: AgentConnectionState, reason?: string): void {
    link.reported = state;
    this.onAgent(link.backendId, state, reason);
  }

  private maxRetryMs(link: Link): number {
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
 * Whether a connection to the engine's agent is needed: while the engine is in this gateway's
 * subset, while it runs requests of this gateway, and while its agent is silent, to detect the
 * recovery of the path.
 */
function needsLink(known: KnownBackend): boolean {
  const { isCurrent, isInSubset, outstanding, path } = known;
  return isCurrent && (isInSubset || outstanding > 0 || path.isAgentSilent);
}
