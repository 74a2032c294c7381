/**
 * Finds out which process listens at an engine's address, by the start time that it reports.
 *
 * An announcement does not show that: while the store is unavailable, a backend that restarts under
 * its name cannot announce its new process, which may run other software. The agent beside the
 * engine is asked first, since its probes of the engine are local. If it is absent or does not
 * answer in time, the engine itself is asked.
 */
import type { Clock } from '../../clock.js';
import type { ProcessAnswer } from '../../processes/process-query.js';
import type { Backend } from '../../routing/backend.js';

/** Who reported the process of a connection. */
export type ProcessSource =
  /** The agent beside the engine. */
  | 'agent'
  /** The engine itself. */
  | 'engine';

/** A process that was found to listen at a backend's address. */
export interface IdentifiedProcess {
  /** Start time on its machine's clock, in Unix milliseconds. */
  readonly bornAtMs: number;
  readonly source: ProcessSource;
}

/** Dependencies of `ProcessIdentifier`. */
export interface ProcessIdentifierPorts {
  /**
   * Asks the agent beside a backend; returns false if none is connected. `onAnswer` is called at
   * most once.
   */
  askAgent(backendId: string, onAnswer: (answer: ProcessAnswer) => void): boolean;
  /**
   * Reads the start time that the process at an address (IP:PORT) reports; resolves with undefined
   * if it reports none, or does not respond in time.
   */
  readStartTime(address: string): Promise<number | undefined>;
  /** Called with the outcome of each query. */
  onResult(backend: Backend, process: IdentifiedProcess | undefined, elapsedMs: number): void;
  readonly clock: Clock;
}

/** Time limits of `ProcessIdentifier`. */
export interface ProcessIdentifierOptions {
  /**
   * Time after which an agent that has not answered is passed over, in milliseconds. Default 150:
   * an idle agent answers within a few round trips.
   */
  readonly agentTimeoutMs: number;
}

/** Default time limits of `ProcessIdentifier`. */
export const DEFAULT_PROCESS_IDENTIFIER_OPTIONS: ProcessIdentifierOptions = {
  agentTimeoutMs: 150,
};

/** A query in progress. */
interface ProcessLookup {
  readonly result: Promise<IdentifiedProcess | undefined>;
  /** The query that begins once this one has ended; undefined if nobody waits for it. */
  following: Promise<IdentifiedProcess | undefined> | undefined;
}

/** Identifies the processes of engines; queries for one address run one after the other. */
export class ProcessIdentifier {
  private readonly lookups = new Map<string, ProcessLookup>();

  constructor(
    private readonly ports: ProcessIdentifierPorts,
    private readonly options = DEFAULT_PROCESS_IDENTIFIER_OPTIONS,
  ) {}

  /**
   * Returns the process that listens at the backend's address, by a query that begins now or later;
   * undefined if it could not be found out. It is the process at the other end of each connection
   * that was established before this call and is still open when the promise resolves.
   */
  identify(backend: Backend): Promise<IdentifiedProcess | undefined> {
    const current = this.lookups.get(backend.address);
    if (current === undefined) {
      return this.start(backend);
    }
    // The process may have restarted since the query in progress was answered.
    current.following ??= current.result.then(() => this.start(backend));
    return current.following;
  }

  private start(backend: Backend): Promise<IdentifiedProcess | undefined> {
    const lookup: ProcessLookup = { result: this.lookUp(backend), following: undefined };
    this.lookups.set(backend.address, lookup);
    void lookup.result.then(() => {
      if (lookup.following === undefined) {
        this.lookups.delete(backend.address);
      }
    });
    return lookup.result;
  }

  private async lookUp(backend: Backend): Promise<IdentifiedProcess | undefined> {
    const { clock, onResult } = this.ports;
    const startedAtMs = clock.now();
    const process = (await this.askAgent(backend)) ?? (await this.askEngine(backend));
    onResult(backend, process, clock.now() - startedAtMs);
    return process;
  }

  /** Resolves with undefined if the agent does not know the process at the backend's address. */
  private askAgent({ id, address }: Backend): Promise<IdentifiedProcess | undefined> {
    const { clock } = this.ports;
    return new Promise((resolve) => {
      const timer = clock.setTimeout(() => resolve(undefined), this.options.agentTimeoutMs);
      const finish = (process: IdentifiedProcess | undefined) => {
        clock.clearTimeout(timer);
        resolve(process);
      };
      const isAsked = this.ports.askAgent(id, (answer) => {
        const bornAtMs = answer.address === address ? answer.bornAtMs : undefined;
        finish(isStartTime(bornAtMs) ? { bornAtMs, source: 'agent' } : undefined);
      });
      if (!isAsked) {
        finish(undefined);
      }
    });
  }

  private async askEngine({ address }: Backend): Promise<IdentifiedProcess | undefined> {
    const bornAtMs = await this.ports.readStartTime(address);
    return bornAtMs === undefined ? undefined : { bornAtMs, source: 'engine' };
  }
}

/** Whether a value that another process sent is a start time. */
function isStartTime(value: unknown): value is number {
  return Number.isSafeInteger(value);
}
