/**
 * Observations of callers, backends and operators, with the faults, the shutdowns and the active
 * generation of each process. The checks may use no other state of the simulated processes.
 */
import { createHash } from 'node:crypto';
import type { PolicyDocument } from '../policy/document.js';
import type { Refusal } from '../request/refusal.js';

/** One attempt of a caller, as the caller observed it. */
export interface CallerAttempt {
  /** Number of the attempt, unique in the simulation. */
  readonly attempt: number;
  readonly className: string;
  readonly tenant: string;
  readonly model: string;
  readonly dataClass: string;
  /** Tier that the policy assigns to the class. */
  readonly tier: number;
  readonly promptTokens: number;
  readonly idempotencyKey: string | undefined;
  readonly prompt: string;
  readonly expectedResponse: string;
  readonly entry: string;
  readonly sentAtMs: number;
  readonly deadlineAtMs: number;
  /** Identifier that the entry assigned on receipt; undefined while no entry has received it. */
  requestId: string | undefined;
  /** Concatenated response chunks received so far. */
  response: string;
  /** `hung-up`: the caller disconnected before the response was complete. */
  outcome: 'pending' | 'answered' | 'refused' | 'connection-lost' | 'hung-up';
  refusal: Refusal | undefined;
  endedAtMs: number | undefined;
  firstChunkAtMs: number | undefined;
}

/** One request that was dispatched to a backend. */
export interface DispatchedRequest {
  readonly requestId: string;
  /** Name of the backend, a model engine or a service. */
  readonly engine: string;
  readonly place: string;
  readonly atMs: number;
  readonly prompt: string;
  readonly dataClass: string;
  readonly idempotencyKey: string | undefined;
  /** Policy generation that was active at the agent on dispatch. */
  readonly generation: number;
  endedAtMs: number | undefined;
  /** Whether the backend ran the request to completion. */
  isComplete: boolean;
}

/** A policy change that the store acknowledged to an operator. */
export interface AcceptedChange {
  readonly changeId: string;
  readonly generation: number;
  readonly acceptedAtMs: number;
  /** Policy after the change. */
  readonly document: PolicyDocument;
  /** Names of the policy entries that the change set. */
  readonly entries: readonly string[];
}

/** A policy generation that became active in one process. */
export interface GenerationChange {
  readonly process: string;
  readonly incarnation: string;
  readonly generation: number;
  readonly atMs: number;
}

/** An injected fault that can lose requests; other faults are not recorded. */
export interface InjectedFault {
  readonly kind: string;
  /** Processes affected, `platform`, `list` for the machine list, or `*` for everything. */
  readonly targets: readonly string[];
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * How long a lower-tier request may keep running after a request of a higher tier was shed, in
 * milliseconds.
 */
export const PREEMPTION_WINDOW_MS = 250;

/** A running request of a lower tier than the shed one. */
export interface RunningRequest {
  readonly engine: string;
  readonly requestId: string;
  readonly tier: number;
}

/** Lower-tier requests that were running when a request was shed. */
export interface ShedSnapshot {
  readonly attempt: CallerAttempt;
  readonly atMs: number;
  /** Requests of a lower tier that were running on permitted engines. */
  readonly lowerTierRunning: readonly RunningRequest[];
  /** Those still running, not paused, when the preemption window ended. */
  stillRunning: readonly RunningRequest[];
}

/** A graceful shutdown of a process, by signal or by its state in the machine list. */
export interface GracefulShutdown {
  readonly process: string;
  readonly trigger: 'signal' | 'list';
  readonly atMs: number;
  /** When the process was restarted; undefined until then. */
  restartedAtMs: number | undefined;
}

/** Collects the observations of one simulation. */
export class Observations {
  readonly attempts: CallerAttempt[] = [];
  readonly dispatches: DispatchedRequest[] = [];
  private readonly latestDispatches = new Map<string, DispatchedRequest>();
  readonly acceptedChanges: AcceptedChange[] = [];
  readonly generationChanges: GenerationChange[] = [];
  readonly faults: InjectedFault[] = [];
  readonly sheds: ShedSnapshot[] = [];
  readonly shutdowns: GracefulShutdown[] = [];
  private readonly hash = createHash('sha256');
  private lineCount = 0;

  /** Records a dispatch. */
  addDispatch(dispatch: DispatchedRequest): void {
    this.dispatches.push(dispatch);
    this.latestDispatches.set(dispatch.requestId, dispatch);
  }

  /** Returns the latest dispatch of a request. */
  findDispatch(requestId: string): DispatchedRequest | undefined {
    return this.latestDispatches.get(requestId);
  }

  /** Adds a line to the event log; only its digest is stored. */
  log(atMs: number, text: string): void {
    this.lineCount += 1;
    this.hash.update(`${atMs.toFixed(1)} ${text}\n`);
  }

  /** Returns the digest of the event log so far. */
  digest(): string {
    return `${this.lineCount}-${this.hash.copy().digest('hex').slice(0, 16)}`;
  }

  /** Returns the shutdown of `process` that has not been followed by a restart, if any. */
  findActiveShutdown(process: string): GracefulShutdown | undefined {
    return this.shutdowns.find(
      (shutdown) => shutdown.process === process && shutdown.restartedAtMs === undefined,
    );
  }

  /** Whether a fault that can lose requests affected one of `names` between two times. */
  isAffectedByFault(names: readonly string[], fromMs: number, untilMs: number): boolean {
    return this.faults.some(
      (fault) =>
        fault.fromMs <= untilMs &&
        fault.untilMs >= fromMs &&
        fault.targets.some((target) => target === '*' || names.includes(target)),
    );
  }
}
