/**
 * The slots of one back end, shared among gateways, without I/O.
 *
 * The ledger counts the slots that each connected gateway holds. When one is
 * free it grants it to the gateway whose waiting request comes first. A grant is
 * a short lease: a gateway that does not answer one gets no more until it does.
 * A gateway that says nothing for longer is taken for gone until it connects again;
 * what it held stays occupied only as long as the back end's own report shows
 * requests that no connected gateway accounts for.
 */
import type { AllowedRegions, RestrictionReason } from '../routing/backend-restriction.js';
import type { HomeOwner } from '../routing/named-homes.js';
import type { Distance } from '../routing/places.js';
import { EngineWatch } from './engine-watch.js';
import type { ClosedCause, EngineAvailability, EngineReading } from './engine-watch.js';
import { FailureEstimate } from './failure-estimate.js';
import { DEFAULT_GATEWAY_SILENCE_OPTIONS, GatewayAccount, regionsOf } from './gateway-account.js';
import type { GatewaySilenceOptions, WaitingRequest } from './gateway-account.js';
import type { SlotAgentSnapshot } from './slot-agent-instruments.js';
import type {
  AgentHomes,
  LearnedSpeed,
  SlotAnswer,
  SlotHello,
  SlotMessage,
  SlotTaken,
  StatedHomes,
} from './slot-messages.js';
import { SilenceReports } from './silence-reports.js';
import { SlotTeller } from './slot-teller.js';
import { StartLimiter } from './start-limiter.js';
import type { GrantsOnly, StartRules } from './start-limiter.js';
import { compareWaiting } from './waiting-order.js';

/** A slot that was taken for a request that operators keep from the back end, as the agent knows it. */
export interface ForbiddenTake extends StatedHomes {
  readonly gateway: string;
  readonly reason: RestrictionReason;
}

/** What a ledger does to its surroundings. */
export interface SlotLedgerPorts {
  /** Sends a message to a connected gateway. */
  send(connection: number, message: SlotAnswer): void;
  /** A slot was granted. */
  onGranted(): void;
  /** Gateways are to be told of changes soon, by `tellChanges`. */
  onChangesToTell(): void;
  /** Slots that were thought to be taken were found free by the report of the back end. */
  onReconciled(slots: number): void;
  /** A request failed: the back end is to be looked at now. */
  onLookWanted(): void;
  /** Whether gateways may use the back end changed. */
  onAvailability(availability: EngineAvailability, closedCause: ClosedCause | undefined): void;
  /** How far a zone is from the back end; missing where that is not known. */
  distanceTo?(zone: string): Distance;
  /** Why operators keep a request from the back end; undefined where they do not. */
  restriction(allowedRegions: AllowedRegions, homeOwner?: HomeOwner): RestrictionReason | undefined;
  /** What gateways are told of homes; undefined while none are named. */
  homesToTell(): AgentHomes | undefined;
  /** A gateway took a free slot for a request that operators keep from the back end. */
  onForbiddenTake(take: ForbiddenTake): void;
  /** How fast requests may begin at the back end; undefined where any rate will do. */
  startRules(nowMs: number): StartRules | undefined;
  /** A request waits and a slot is free, but too many began lately: `resume` is to be called then. */
  onStartsHeld(resumeInMs: number): void;
}

/**
 * How long the requests of a gateway that is gone are looked for at the back end,
 * in milliseconds: it may be cut off from this process alone and still send.
 */
const LOOK_FOR_GONE_MS = 10_000;
/** What is told of the engine as soon as it changes. */
type EngineCondition = Pick<EngineWatch, 'availability' | 'closedCause'>;

/** The request that a slot is granted for. */
interface NextGrant {
  readonly connection: number;
  readonly account: GatewayAccount;
  readonly waiting: WaitingRequest;
}

/** The slots of one back end. */
export class SlotLedger {
  private readonly accounts = new Map<number, GatewayAccount>();
  /** Gateways that went without a word, by name: until when their requests are looked for. */
  private readonly goneUntilMs = new Map<string, number>();
  private slots = 0;
  /** Slots occupied by requests of gateways that are not connected. */
  private unaccounted = 0;
  private speed: LearnedSpeed = {};
  private readonly failures = new FailureEstimate();
  private readonly silences = new SilenceReports();
  private readonly engine = new EngineWatch();
  private readonly teller: SlotTeller;
  private readonly starts: StartLimiter;
  private toldGrantsOnly: GrantsOnly | undefined;
  /** The start that the engine told last, in Unix milliseconds of its own clock. */
  private bornAtMs: number | undefined;

  constructor(
    private readonly ports: SlotLedgerPorts,
    private readonly silence: GatewaySilenceOptions = DEFAULT_GATEWAY_SILENCE_OPTIONS,
    startedAtMs = 0,
  ) {
    this.starts = new StartLimiter(startedAtMs);
    const counts = {
      occupied: () => this.occupied,
      capacity: () => this.slots,
    };
    this.teller = new SlotTeller(this.accounts, counts, {
      tell: (connection, account, nowMs) => this.tell(connection, account, nowMs),
      onChangesToTell: () => ports.onChangesToTell(),
    });
  }

  /** Whether the back end's report is needed to find out something that is not known. */
  needsReport(nowMs: number): boolean {
    return this.engine.needsLook || this.needsReconciliation(nowMs);
  }

  /** Whether something may run there that no connected gateway accounts for. */
  private needsReconciliation(nowMs: number): boolean {
    for (const [name, untilMs] of this.goneUntilMs) {
      if (nowMs > untilMs) {
        this.goneUntilMs.delete(name);
      }
    }
    return this.unaccounted > 0 || this.goneUntilMs.size > 0;
  }

  /** What the metrics show. */
  get snapshot(): SlotAgentSnapshot {
    const { slots, occupied, unaccounted } = this;
    return { slots, occupied, unaccounted, gateways: this.accounts.size };
  }

  /** The gateway on a connection, and what it holds; undefined before its hello. */
  describe(connection: number): { gateway: string; held: number; waiting: number } | undefined {
    const account = this.accounts.get(connection);
    return account === undefined
      ? undefined
      : { gateway: account.name, held: account.held, waiting: account.waiting.length };
  }

  /** Whether some gateway must be heard of soon. */
  get expectsGateways(): boolean {
    return [...this.accounts.values()].some((account) => account.isExpectedToSpeak);
  }

  /** Connections of gateways that are silent for too long. */
  findSilent(nowMs: number): number[] {
    return [...this.accounts]
      .filter(([, account]) => account.isSilent(nowMs, this.silence))
      .map(([connection]) => connection);
  }

  /** Whether a gateway said hello on the connection. */
  knows(connection: number): boolean {
    return this.accounts.has(connection);
  }

  /** Occupied slots. */
  get occupied(): number {
    return this.held + this.unaccounted;
  }

  /** Slots of the back end; 0 until a gateway named them. */
  get capacity(): number {
    return this.slots;
  }

  private get held(): number {
    let held = 0;
    for (const account of this.accounts.values()) {
      held += account.held;
    }
    return held;
  }

  /** Takes a message of the gateway on `connection`. */
  receive(connection: number, message: SlotMessage, nowMs: number): void {
    if (message.kind === 'hello') {
      this.admit(connection, message, nowMs);
    } else {
      this.receiveFromKnown(connection, message, nowMs);
    }
    this.settle(nowMs);
  }

  /** Time alone may have made room for further starts. */
  resume(nowMs: number): void {
    this.settle(nowMs);
  }

  private settle(nowMs: number): void {
    this.grant(nowMs);
    if (this.grantsOnly(nowMs) === this.toldGrantsOnly) {
      this.teller.tellIfChanged(nowMs);
    } else {
      this.teller.tellAll(nowMs);
    }
  }

  private grantsOnly(nowMs: number): GrantsOnly | undefined {
    return this.starts.grantsOnly(this.ports.startRules(nowMs), nowMs);
  }

  /** A connection ended; what its gateway held may still run. */
  disconnect(connection: number, nowMs: number): void {
    const account = this.accounts.get(connection);
    if (account === undefined) {
      return;
    }
    this.accounts.delete(connection);
    this.starts.forget(connection);
    this.unaccounted += account.held;
    this.goneUntilMs.set(account.name, nowMs + LOOK_FOR_GONE_MS);
    this.teller.tellIfChanged(nowMs);
  }

  /** Takes in what a look at the back end brought. */
  takeReading(reading: EngineReading, nowMs: number): void {
    if (this.isOfAnotherLife(reading)) {
      // It ended and started again between two looks: gateways hear of both.
      this.takeReading({ kind: 'closed' }, nowMs);
    }
    const before = this.condition;
    this.engine.noteReading(reading, nowMs);
    this.tellAvailability(before, nowMs);
    if (reading.kind === 'load' && this.needsReconciliation(nowMs)) {
      this.reconcile(reading.requests);
    }
    this.settle(nowMs);
  }

  private isOfAnotherLife(reading: EngineReading): boolean {
    const told = reading.kind === 'load' ? reading.bornAtMs : undefined;
    // Anything may answer there: what is no time tells nothing.
    const bornAtMs = Number.isSafeInteger(told) ? told : undefined;
    const isAnother = bornAtMs !== undefined && (this.bornAtMs ?? bornAtMs) !== bornAtMs;
    this.bornAtMs = bornAtMs ?? this.bornAtMs;
    return isAnother;
  }

  /** Takes in the back end's own count of requests that run or wait there. */
  private reconcile(requestsAtBackend: number): void {
    const before = this.unaccounted;
    this.unaccounted = Math.max(0, requestsAtBackend - this.held);
    if (this.unaccounted < before) {
      this.ports.onReconciled(before - this.unaccounted);
    }
  }

  private admit(connection: number, hello: SlotHello, nowMs: number): void {
    const { gateway, held, slots, zone } = hello;
    for (const [other, account] of this.accounts) {
      if (account.name === gateway) {
        this.disconnect(other, nowMs);
      }
    }
    const distance = zone === undefined ? undefined : this.ports.distanceTo?.(zone);
    this.goneUntilMs.delete(gateway);
    this.slots = slots;
    this.unaccounted = Math.max(0, this.unaccounted - held);
    this.accounts.set(connection, new GatewayAccount(gateway, held, nowMs, distance));
    this.teller.owe();
  }

  private receiveFromKnown(
    connection: number,
    message: Exclude<SlotMessage, { kind: 'hello' }>,
    nowMs: number,
  ): void {
    const account = this.accounts.get(connection);
    if (account === undefined) {
      return;
    }
    account.hear(nowMs);
    switch (message.kind) {
      case 'demand':
        account.clockMs = message.atMs ?? account.clockMs;
        account.setWaiting(message.ranks, message.grantsSeen, nowMs);
        break;
      case 'speed':
        this.learnSpeed(message.speed);
        break;
      case 'taken':
        account.take();
        this.checkTake(account, message);
        this.starts.noteTaken(nowMs);
        break;
      case 'grant-used':
        account.noteGrantAnswered(nowMs);
        this.starts.noteUsed(connection, nowMs);
        break;
      case 'grant-returned':
        account.noteGrantAnswered(nowMs);
        this.starts.noteReturned(connection);
        account.release();
        break;
      case 'released':
        account.release();
        if (message.isSilent === true) {
          this.noteSilence(account.name, nowMs);
        } else {
          this.noteOutcome(message.hasFailed, nowMs);
        }
        break;
      case 'proven':
        this.noteProven(nowMs);
        break;
      case 'alive':
        account.clockMs = message.atMs ?? account.clockMs;
        break;
    }
  }

  /** It cannot be undone, since the request is on its way: it is told, and counted. */
  private checkTake({ name: gateway }: GatewayAccount, taken: SlotTaken): void {
    const { allowedRegions, homeOwner } = taken;
    const reason = this.ports.restriction(regionsOf(taken), homeOwner);
    if (reason !== undefined) {
      this.ports.onForbiddenTake({ gateway, reason, allowedRegions, homeOwner });
    }
  }

  private noteOutcome(hasFailed: boolean | undefined, nowMs: number): void {
    if (hasFailed === undefined) {
      return;
    }
    this.failures.note(hasFailed, nowMs);
    if (!hasFailed) {
      this.noteProven(nowMs);
      return;
    }
    const before = this.condition;
    this.engine.noteFailure(nowMs);
    this.ports.onLookWanted();
    this.tellAvailability(before, nowMs);
  }

  private noteSilence(gateway: string, nowMs: number): void {
    const isEnginesOwn = this.silences.noteSilence(gateway, nowMs);
    // The one request that tries an engine which failed before must be answered, or it rests on.
    if (isEnginesOwn || this.engine.availability === 'trial') {
      this.noteOutcome(true, nowMs);
      return;
    }
    this.engine.noteDoubt();
    this.ports.onLookWanted();
  }

  private noteProven(nowMs: number): void {
    this.silences.noteAnswer();
    const before = this.condition;
    this.engine.noteAnswer();
    this.tellAvailability(before, nowMs);
  }

  /** Gateways learn at once whether they may use the back end, and that it has ended. */
  private tellAvailability(before: EngineCondition, nowMs: number): void {
    const { availability, closedCause } = this.engine;
    if (availability !== before.availability || closedCause !== before.closedCause) {
      this.ports.onAvailability(availability, closedCause);
      this.teller.tellAll(nowMs);
    }
  }

  private get condition(): EngineCondition {
    const { availability, closedCause } = this.engine;
    return { availability, closedCause };
  }

  /** What is learned first is told at once; what changes later goes with the next count. */
  private learnSpeed(speed: LearnedSpeed): void {
    const isNew = this.speed.prefill === undefined && speed.prefill !== undefined;
    this.speed = { ...this.speed, ...speed };
    if (isNew) {
      this.teller.owe();
    }
  }

  private grant(nowMs: number): void {
    while (this.occupied < this.grantableSlots) {
      const next = this.findFirstWaiting(nowMs);
      if (next === undefined) {
        return;
      }
      const heldMs = this.starts.msUntilGrant(this.ports.startRules(nowMs), nowMs);
      if (heldMs > 0) {
        this.ports.onStartsHeld(heldMs);
        return;
      }
      const { connection, account, waiting } = next;
      account.grant(waiting, nowMs);
      this.starts.noteGranted(connection, nowMs);
      this.ports.onGranted();
      this.ports.send(connection, grantFor(account, waiting));
    }
  }

  /** Slots that may be taken now; whatever is taken beyond runs on. */
  private get grantableSlots(): number {
    const { availability, isSuspect } = this.engine;
    if (availability === 'closed' || isSuspect) {
      return 0;
    }
    return availability === 'trial' ? 1 : this.slots;
  }

  private findFirstWaiting(nowMs: number): NextGrant | undefined {
    let best: NextGrant | undefined;
    for (const [connection, account] of this.accounts) {
      const waiting = this.firstPermitted(account);
      if (waiting === undefined || account.hasLapsedGrant(nowMs, this.silence)) {
        continue;
      }
      if (best === undefined || compareWaiting(waiting, best.waiting, nowMs) < 0) {
        best = { connection, account, waiting };
      }
    }
    return best;
  }

  /** The gateway's first waiting request that operators permit here. */
  private firstPermitted({ waiting }: GatewayAccount): WaitingRequest | undefined {
    return waiting.find(
      ({ allowedRegions, homeOwner }) => !this.ports.restriction(allowedRegions, homeOwner),
    );
  }

  /** Tells gateways what changed since they were told last. */
  tellChanges(nowMs: number): void {
    this.teller.tellChanges(nowMs);
  }

  /** Operators' orders changed: gateways are told at once, and what is permitted now is granted. */
  followOrders(nowMs: number): void {
    this.grant(nowMs);
    this.teller.tellAll(nowMs);
  }

  /** Shows gateways that the agent lives, unless they were told something in the last `quietMs`. */
  beat(quietMs: number, nowMs: number): void {
    if (this.ports.startRules(nowMs) !== undefined) {
      this.settle(nowMs);
    }
    this.teller.beat(quietMs, nowMs);
  }

  private tell(connection: number, account: GatewayAccount, nowMs: number): void {
    const { occupied, speed } = this;
    const homes = this.ports.homesToTell();
    const grantsOnly = this.grantsOnly(nowMs);
    this.toldGrantsOnly = grantsOnly;
    const roundTripMs = account.takeRoundTripNews();
    this.ports.send(connection, {
      kind: 'state',
      occupied,
      messagesSeen: account.messagesSeen,
      speed,
      ...(roundTripMs === undefined ? {} : { roundTripMs }),
      failureShare: this.failures.share(nowMs),
      availability: this.engine.availability,
      ...(this.engine.closedCause === 'port-closed' && { hasEnded: true }),
      ...(homes === undefined ? {} : { homes }),
      ...(grantsOnly && { grantsOnly }),
    });
  }
}

function grantFor({ clockMs }: GatewayAccount, { homeOwner }: WaitingRequest): SlotAnswer {
  return {
    kind: 'granted',
    ...(clockMs === undefined ? {} : { heardAtMs: clockMs }),
    ...(homeOwner === undefined ? {} : { homeOwner }),
  };
}
