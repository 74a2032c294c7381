/**
 * Connects the conditions that backends report in response headers with a gateway's peers,
 * dispatcher, log and metrics.
 */
import type { Clock, TimerHandle } from '../clock.js';
import type {
  PeerHello,
  PeerMessage,
  PeerSendRightResponse,
  PeerSendRightRequest,
  PeerSendRightReturn,
} from '../cluster/peer-messages.js';
import type { RandomSource } from '../random.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { ResponseStatement } from './attempt/request-model.js';
import type { GatewayQuotas } from './gateway-quotas.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';
import type { BackendCondition, ConditionSnapshot } from './statements/backend-condition.js';
import { BackendConditions } from './statements/backend-conditions.js';
import type { ConditionSource } from './statements/backend-conditions.js';
import { sendLimitPerS } from './statements/send-limit.js';
import { SendRightPools } from './statements/send-right-pools.js';
import { rightRequestName, SendRights } from './statements/send-rights.js';

/** Finds the holder of a resource that is not divided among gateways, and sends messages to it. */
export type SoleHolderDirectory = Pick<GatewayQuotas, 'soleHolderOf' | 'soleSinceMs' | 'sendTo'>;

/** Dependencies of the backend conditions of a gateway. */
export interface GatewayConditionsDependencies {
  readonly settings: Pick<GatewaySettings, 'process'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  holders(): SoleHolderDirectory;
  /** Number of known gateways, including this one. */
  countGateways(): number;
  /** Sends conditions to every other gateway. */
  broadcastToPeers(conditions: readonly ConditionSnapshot[]): void;
  /**
   * Called when a backend's condition changes or a send right for it arrives, so that what may be
   * sent there changes.
   */
  onChange(backendId: string): void;
  /** Whether the backend is still in the directory. */
  isKnown(backendId: string): boolean;
}

/**
 * Relative change of a rate limit that is logged: overloaded backends may report a new limit with
 * each response.
 */
const MIN_LOGGED_LIMIT_CHANGE = 0.25;
/** Time for which changes are batched before they are sent to peers, in milliseconds. */
const BROADCAST_DELAY_MS = 50;

/**
 * Tracks backend-reported conditions (rate limit, backoff, draining) and enforces the rate limits
 * by send rights.
 */
export class GatewayConditions {
  readonly conditions: BackendConditions;
  readonly rights: SendRights;
  private readonly pools: SendRightPools;
  /** Last logged rate limit of each backend. */
  private readonly loggedLimits = new Map<string, number | undefined>();
  /** Backends whose conditions are still to be sent to peers. */
  private readonly changedBackends = new Set<string>();
  private broadcastTimer: TimerHandle | undefined;

  constructor(private readonly dependencies: GatewayConditionsDependencies) {
    const { clock, random, settings } = dependencies;
    const limitOf = (backendId: string) => sendLimitPerS(this.conditionOf(backendId));
    this.conditions = new BackendConditions({
      onChange: (backendId, condition, source) => this.handleChange(backendId, condition, source),
    });
    this.pools = new SendRightPools(
      {
        limitOf,
        heldSinceMs: (backendId) => dependencies.holders().soleSinceMs(issuerKeyOf(backendId)),
      },
      clock,
    );
    this.rights = new SendRights(
      settings.process.name,
      {
        limitOf,
        issuerOf: (backendId) => dependencies.holders().soleHolderOf(issuerKeyOf(backendId)),
        acquireLocally: (backendId, request) => this.pools.acquire(backendId, request),
        sendRightRequest: (holder, { id, backendId, place: { tier, rankInTier } }) =>
          dependencies.holders().sendTo(holder, {
            kind: 'send-right-ask',
            id,
            backendId,
            place: { tier, rankInTier },
            condition: this.conditionOf(backendId).snapshot(backendId, clock.now()),
          }),
        returnRight: (holder, { id, backendId }) => this.returnRight(holder, id, backendId),
        countGateways: () => dependencies.countGateways(),
        onRightReceived: (backendId) => dependencies.onChange(backendId),
      },
      clock,
      random,
    );
  }

  /** Condition reported by a backend incarnation. */
  conditionOf(backendId: string): BackendCondition {
    return this.conditions.getOrCreate(backendId, this.dependencies.clock.now());
  }

  /** Processes the head of a response. */
  receiveResponseHead({ backend, requestId, ...head }: ResponseStatement): void {
    const { metrics, log, clock } = this.dependencies;
    for (const field of head.statement.unreadable) {
      metrics.record(({ statementsUnreadable }) => statementsUnreadable.inc({ field }));
    }
    const { restMs } = head.statement;
    if (restMs !== undefined) {
      const fields = { backend: backend.id, request: requestId, restMs };
      log.write('backend-asks-rest', 'failure', fields);
    }
    this.conditions.applyStatement(backend.id, head, clock.now());
  }

  /** All current conditions, as sent to a peer that connects. */
  tell(): readonly ConditionSnapshot[] {
    return this.conditions.snapshots(this.dependencies.clock.now());
  }

  /** Merges the conditions that a peer sent. */
  hearPeer(conditions: readonly ConditionSnapshot[]): void {
    this.conditions.merge(conditions, this.dependencies.clock.now());
  }

  /** Responds to a peer's request for a send right from a pool of this gateway. */
  answerPeer(
    { incarnation }: PeerHello,
    { id, backendId, place, condition }: PeerSendRightRequest,
    reply: (response: PeerSendRightResponse) => void,
  ): void {
    if (condition !== undefined) {
      this.hearPeer([condition]);
    }
    const respond = (isGranted: boolean) => reply({ kind: 'send-right-answer', id, isGranted });
    this.pools.acquire(backendId, {
      name: rightRequestName(incarnation, id),
      place,
      respond,
    });
  }

  /** Processes an issuer's response to a request for a send right. */
  receiveAnswer({ id, isGranted }: PeerSendRightResponse): void {
    this.rights.receiveResponse(id, isGranted);
  }

  /** Returns a peer's unused send right to its pool. */
  takeBack({ incarnation }: PeerHello, { id, backendId }: PeerSendRightReturn): void {
    this.pools.returnRight(backendId, rightRequestName(incarnation, id));
  }

  /**
   * Issues send rights to queued requests and closes pools of backends without a limit and of those
   * whose rights this gateway no longer issues; called on each tick.
   */
  tick(): void {
    this.pools.issueAll();
  }

  /** Removes the state of backends that are gone or no longer limited; called periodically. */
  removeStale(): void {
    this.rights.evictUnlimited();
    this.conditions.evictExpired(
      (id) => this.dependencies.isKnown(id),
      this.dependencies.clock.now(),
    );
    for (const [backendId, limitPerS] of this.loggedLimits) {
      if (limitPerS === undefined) {
        this.loggedLimits.delete(backendId);
      }
    }
  }

  private returnRight(holder: string, id: number, backendId: string): void {
    const { name } = this.dependencies.settings.process;
    if (holder === name) {
      this.pools.returnRight(backendId, rightRequestName(name, id));
      return;
    }
    const message: PeerMessage = { kind: 'send-right-return', id, backendId };
    this.dependencies.holders().sendTo(holder, message);
  }

  private handleChange(
    backendId: string,
    condition: BackendCondition,
    source: ConditionSource,
  ): void {
    this.logChange(backendId, condition, source);
    if (source === 'answer') {
      this.changedBackends.add(backendId);
      this.broadcastTimer ??= this.dependencies.clock.setTimeout(
        () => this.broadcastChanges(),
        BROADCAST_DELAY_MS,
      );
    }
    this.dependencies.onChange(backendId);
  }

  private broadcastChanges(): void {
    const nowMs = this.dependencies.clock.now();
    const conditions = [...this.changedBackends].flatMap(
      (id) => this.conditionOf(id).snapshot(id, nowMs) ?? [],
    );
    this.broadcastTimer = undefined;
    this.changedBackends.clear();
    this.dependencies.broadcastToPeers(conditions);
  }

  private logChange(backendId: string, condition: BackendCondition, source: ConditionSource): void {
    const { limitPerS, isLeaving, backoffUntilMs } = condition;
    const logged = this.loggedLimits.get(backendId);
    const isSameLimit =
      limitPerS !== undefined &&
      logged !== undefined &&
      Math.abs(limitPerS - logged) <= logged * MIN_LOGGED_LIMIT_CHANGE;
    const backoffLeftMs = backoffUntilMs - this.dependencies.clock.now();
    if (isSameLimit && !isLeaving && backoffLeftMs <= 0) {
      return;
    }
    this.loggedLimits.set(backendId, limitPerS);
    this.dependencies.log.write('backend-condition', 'state', {
      backend: backendId,
      source,
      limitPerS,
      isLeaving,
      restLeftMs: backoffLeftMs > 0 ? backoffLeftMs : undefined,
    });
  }
}

/** Key of a backend's send rights; the sole holder of this resource is their issuer. */
function issuerKeyOf(backendId: string): string {
  return `send/${backendId}`;
}
