/** What callers, back ends and operators saw: all that the checks may look at. */
import { createHash } from 'node:crypto';
import type { PolicyDocument } from '../policy/document.js';
import type { Refusal } from '../request/refusal.js';

/** One try of a caller, from its own side. */
export interface CallerAttempt {
  /** Number of the try, unique in the run. */
  readonly attempt: number;
  readonly className: string;
  readonly tenant: string;
  readonly model: string;
  readonly dataClass: string;
  /** Tier that policy gives the class. */
  readonly tier: number;
  readonly promptTokens: number;
  readonly idempotencyKey: string | undefined;
  readonly prompt: string;
  readonly expectedAnswer: string;
  readonly entry: string;
  readonly sentAtMs: number;
  readonly deadlineAtMs: number;
  /** Identifier that the entry gave the request; undefined until the entry had it. */
  requestId: string | undefined;
  answer: string;
  outcome: 'pending' | 'answered' | 'refused' | 'connection-lost' | 'hung-up';
  refusal: Refusal | undefined;
  endedAtMs: number | undefined;
  firstPartAtMs: number | undefined;
}

/** One request as a back end was handed it. */
export interface HandedRequest {
  readonly requestId: string;
  readonly engine: string;
  readonly place: string;
  readonly atMs: number;
  readonly prompt: string;
  readonly dataClass: string;
  readonly idempotencyKey: string | undefined;
  /** Generation in force at the agent when it handed the request over. */
  readonly generation: number;
  endedAtMs: number | undefined;
  /** Whether the back end ran it to its end. */
  isComplete: boolean;
}

/** A change of policy that an operator was told is accepted. */
export interface AcceptedChange {
  readonly changeId: string;
  readonly generation: number;
  readonly acceptedAtMs: number;
  readonly document: PolicyDocument;
  /** Entries that the change set. */
  readonly entries: readonly string[];
}

/** A generation that came into force in one process. */
export interface GenerationInForce {
  readonly process: string;
  readonly incarnation: string;
  readonly generation: number;
  readonly atMs: number;
}

/** A fault as it was brought about. */
export interface InjectedFault {
  readonly kind: string;
  /** Names or zones that the fault touches; `*` for all. */
  readonly targets: readonly string[];
  readonly fromMs: number;
  readonly untilMs: number;
}

/** How long a lower tier may go on after a higher one was shed, in milliseconds. */
export const TIER_WINDOW_MS = 250;

/** A request of a lower tier that an engine runs. */
export interface RunningLowerTier {
  readonly engine: string;
  readonly requestId: string;
  readonly tier: number;
}

/** The engine's running requests at the moment a request was shed. */
export interface ShedSnapshot {
  readonly attempt: CallerAttempt;
  readonly atMs: number;
  /** Requests that run on permitted engines and have a lower tier, by engine. */
  readonly lowerTierRunning: readonly RunningLowerTier[];
  /** Those of them that run, and are not paused, when the window is over. */
  stillRunning: readonly RunningLowerTier[];
}

/** A process that was told to leave. */
export interface PlannedLeave {
  readonly process: string;
  readonly by: 'signal' | 'list';
  readonly atMs: number;
  /** When it was started again; undefined while it is gone. */
  restartedAtMs: number | undefined;
}

/** What callers, back ends and operators saw. */
export class Observations {
  readonly attempts: CallerAttempt[] = [];
  readonly handed: HandedRequest[] = [];
  private readonly latestHanded = new Map<string, HandedRequest>();
  readonly acceptedChanges: AcceptedChange[] = [];
  readonly generations: GenerationInForce[] = [];
  readonly faults: InjectedFault[] = [];
  readonly sheds: ShedSnapshot[] = [];
  readonly leaves: PlannedLeave[] = [];
  private readonly hash = createHash('sha256');
  private lineCount = 0;

  /** Keeps a request that a back end was handed. */
  addHanded(handed: HandedRequest): void {
    this.handed.push(handed);
    this.latestHanded.set(handed.requestId, handed);
  }

  /** The latest time that a request was handed over. */
  findHanded(requestId: string): HandedRequest | undefined {
    return this.latestHanded.get(requestId);
  }

  /** Adds a line to the event log, of which the digest is kept. */
  log(atMs: number, text: string): void {
    this.lineCount += 1;
    this.hash.update(`${atMs.toFixed(1)} ${text}\n`);
  }

  /** Digest of the event log so far. */
  digest(): string {
    return `${this.lineCount}-${this.hash.copy().digest('hex').slice(0, 16)}`;
  }

  /** The leave of `process` that is under way, if any. */
  currentLeave(process: string): PlannedLeave | undefined {
    return this.leaves.find(
      (leave) => leave.process === process && leave.restartedAtMs === undefined,
    );
  }

  /** Whether a fault that can lose requests touched one of `names` between two times. */
  isDisturbed(names: readonly string[], fromMs: number, untilMs: number): boolean {
    return this.faults.some(
      (fault) =>
        fault.fromMs <= untilMs &&
        fault.untilMs >= fromMs &&
        fault.targets.some((target) => target === '*' || names.includes(target)),
    );
  }
}
