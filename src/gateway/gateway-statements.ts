/** Joins what back ends say of themselves to a gateway: its peers, its choices, its log and its metrics. */
import type { Clock, TimerHandle } from '../clock.js';
import type {
  PeerHello,
  PeerMessage,
  PeerSendRightAnswer,
  PeerSendRightAsk,
  PeerSendRightReturn,
} from '../cluster/peer-messages.js';
import type { RandomSource } from '../random.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { HeardAnswer } from './attempt/request-model.js';
import type { GatewayQuotas } from './gateway-quotas.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';
import type { BackendCondition, ToldCondition } from './statements/backend-condition.js';
import { BackendConditions } from './statements/backend-conditions.js';
import type { ConditionSource } from './statements/backend-conditions.js';
import { sendLimitPerS } from './statements/send-limit.js';
import { SendRightPools } from './statements/send-right-pools.js';
import { rightName, SendRights } from './statements/send-rights.js';

/** Who holds what is not divided among gateways, and the way to them. */
export type SoleHolders = Pick<GatewayQuotas, 'soleHolderOf' | 'soleSinceMs' | 'sendTo'>;

/** What a gateway's ear for back ends is made from. */
export interface GatewayStatementsParts {
  readonly settings: Pick<GatewaySettings, 'process'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  holders(): SoleHolders;
  /** Gateways that are known, this one included. */
  countGateways(): number;
  /** Tells every other gateway. */
  tellPeers(conditions: readonly ToldCondition[]): void;
  /** What may be sent to a back end changed. */
  onChange(backendId: string): void;
  /** Whether a back end is still known. */
  isKnown(backendId: string): boolean;
}

/** Share by which a limit has to change for another line: back ends in need may name another one with each answer. */
const LOGGED_CHANGE = 0.25;
/** Time in which news are gathered before peers are told, in milliseconds. */
const GATHER_MS = 50;

/** What a gateway hears back ends say of themselves, and what follows from it. */
export class GatewayStatements {
  readonly conditions: BackendConditions;
  readonly rights: SendRights;
  private readonly pools: SendRightPools;
  /** Limits as they were logged last, by back end. */
  private readonly loggedLimits = new Map<string, number | undefined>();
  /** Back ends of which peers are to be told. */
  private readonly news = new Set<string>();
  private newsTimer: TimerHandle | undefined;

  constructor(private readonly parts: GatewayStatementsParts) {
    const { clock, random, settings } = parts;
    const limitOf = (backendId: string) => sendLimitPerS(this.of(backendId));
    this.conditions = new BackendConditions({
      onChange: (backendId, condition, source) => this.noteChange(backendId, condition, source),
    });
    this.pools = new SendRightPools(
      { limitOf, heldSinceMs: (backendId) => parts.holders().soleSinceMs(keyOf(backendId)) },
      clock,
    );
    this.rights = new SendRights(
      settings.process.name,
      {
        limitOf,
        dealerOf: (backendId) => parts.holders().soleHolderOf(keyOf(backendId)),
        askSelf: (backendId, ask) => this.pools.ask(backendId, ask),
        sendAsk: (dealer, { id, backendId, place: { tier, rankInTier } }) =>
          parts.holders().sendTo(dealer, {
            kind: 'send-right-ask',
            id,
            backendId,
            place: { tier, rankInTier },
            condition: this.of(backendId).tell(backendId, clock.now()),
          }),
        giveBack: (dealer, { id, backendId }) => this.giveBack(dealer, id, backendId),
        countGateways: () => parts.countGateways(),
        onRight: (backendId) => parts.onChange(backendId),
      },
      clock,
      random,
    );
  }

  /** What the life of that name said of itself. */
  of(backendId: string): BackendCondition {
    return this.conditions.of(backendId, this.parts.clock.now());
  }

  /** Takes in the head of an answer. */
  hear({ backend, requestId, ...heard }: HeardAnswer): void {
    const { metrics, log, clock } = this.parts;
    for (const field of heard.statement.unreadable) {
      metrics.record(({ statementsUnreadable }) => statementsUnreadable.inc({ field }));
    }
    const { restMs } = heard.statement;
    if (restMs !== undefined) {
      const fields = { backend: backend.id, request: requestId, restMs };
      log.write('backend-asks-rest', 'failure', fields);
    }
    this.conditions.hear(backend.id, heard, clock.now());
  }

  /** What a gateway that connects is told. */
  tell(): readonly ToldCondition[] {
    return this.conditions.tell(this.parts.clock.now());
  }

  /** Takes in what a peer tells. */
  hearPeer(conditions: readonly ToldCondition[]): void {
    this.conditions.merge(conditions, this.parts.clock.now());
  }

  /** A peer asks for a right that this gateway deals out. */
  answer(
    { incarnation }: PeerHello,
    { id, backendId, place, condition }: PeerSendRightAsk,
    reply: (answer: PeerSendRightAnswer) => void,
  ): void {
    if (condition !== undefined) {
      this.hearPeer([condition]);
    }
    const answer = (isGranted: boolean) => reply({ kind: 'send-right-answer', id, isGranted });
    this.pools.ask(backendId, { name: rightName(incarnation, id), place, answer });
  }

  /** A gateway that was asked answers. */
  receiveAnswer({ id, isGranted }: PeerSendRightAnswer): void {
    this.rights.receive(id, isGranted);
  }

  /** A peer gives back what it was granted. */
  takeBack({ incarnation }: PeerHello, { id, backendId }: PeerSendRightReturn): void {
    this.pools.giveBack(backendId, rightName(incarnation, id));
  }

  /** Looks at what others hold now; to be called each tick. */
  tick(): void {
    this.pools.review();
  }

  /** Forgets what is long gone; to be called now and then. */
  forgetOld(): void {
    this.rights.forgetFree();
    this.conditions.forgetOld((id) => this.parts.isKnown(id), this.parts.clock.now());
    for (const [backendId, limitPerS] of this.loggedLimits) {
      if (limitPerS === undefined) {
        this.loggedLimits.delete(backendId);
      }
    }
  }

  private giveBack(dealer: string, id: number, backendId: string): void {
    const { name } = this.parts.settings.process;
    if (dealer === name) {
      this.pools.giveBack(backendId, rightName(name, id));
      return;
    }
    const message: PeerMessage = { kind: 'send-right-return', id, backendId };
    this.parts.holders().sendTo(dealer, message);
  }

  private noteChange(
    backendId: string,
    condition: BackendCondition,
    source: ConditionSource,
  ): void {
    this.logChange(backendId, condition, source);
    if (source === 'answer') {
      this.news.add(backendId);
      this.newsTimer ??= this.parts.clock.setTimeout(() => this.tellNews(), GATHER_MS);
    }
    this.parts.onChange(backendId);
  }

  private tellNews(): void {
    const nowMs = this.parts.clock.now();
    const told = [...this.news].flatMap((id) => this.of(id).tell(id, nowMs) ?? []);
    this.newsTimer = undefined;
    this.news.clear();
    this.parts.tellPeers(told);
  }

  private logChange(backendId: string, condition: BackendCondition, source: ConditionSource): void {
    const { limitPerS, isLeaving, restUntilMs } = condition;
    const logged = this.loggedLimits.get(backendId);
    const isSameLimit =
      limitPerS !== undefined &&
      logged !== undefined &&
      Math.abs(limitPerS - logged) <= logged * LOGGED_CHANGE;
    const restLeftMs = restUntilMs - this.parts.clock.now();
    if (isSameLimit && !isLeaving && restLeftMs <= 0) {
      return;
    }
    this.loggedLimits.set(backendId, limitPerS);
    this.parts.log.write('backend-condition', 'state', {
      backend: backendId,
      source,
      limitPerS,
      isLeaving,
      restLeftMs: restLeftMs > 0 ? restLeftMs : undefined,
    });
  }
}

/** What the holder of a back end's rights is found by. */
function keyOf(backendId: string): string {
  return `send/${backendId}`;
}
