/** The attempts of one request, without I/O. */
import type { Backend } from '../../routing/backend.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AttemptFailure } from './attempt.js';
import type { RequestPorts } from './request-model.js';
import type { RequestRecord } from './request-record.js';
import { RunningAttempt } from './running-attempt.js';

/** Counts the attempts of a request and holds the current one. */
export class AttemptSequence {
  private attempt: RunningAttempt | undefined;
  private newest: RunningAttempt | undefined;
  private countedAttempts = 0;
  private hasRun = false;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly record: RequestRecord,
    private readonly ports: RequestPorts,
  ) {}

  /** The current attempt, or the last one while none is active; undefined before the first. */
  get current(): RunningAttempt | undefined {
    return this.attempt;
  }

  /** Id of the backend of the current attempt, or of the last one. */
  get backendId(): string {
    return this.attempt!.backend.id;
  }

  /** Number of attempts that count towards those that the route allows. */
  get count(): number {
    return this.countedAttempts;
  }

  /** Whether a backend may have executed the request. */
  get mayHaveRun(): boolean {
    return this.hasRun;
  }

  /** Returns a new attempt at `backend`, whose slot was assigned at `placedAtMs`. */
  create(backend: Backend, placedAtMs: number): RunningAttempt {
    this.countedAttempts += 1;
    const { attempt: previous, record, ports, request } = this;
    const shared = { request, previous, record, ports };
    this.newest = new RunningAttempt(shared, backend, placedAtMs);
    return this.newest;
  }

  /** Makes an attempt the current one. */
  continueWith(attempt: RunningAttempt): void {
    this.attempt = attempt;
  }

  /** Records that an attempt does not count, because its backend did not get the request. */
  uncount(): void {
    this.countedAttempts -= 1;
  }

  /** Handles the report that a backend has ended; see `RunningAttempt.handleBackendEnded`. */
  handleBackendEnded(id: string, sentBeforeMs: number): void {
    for (const attempt of new Set([this.attempt, this.newest])) {
      if (attempt?.backend.id === id) {
        attempt.handleBackendEnded(sentBeforeMs);
      }
    }
  }

  /** Records that no byte of the current attempt reached its backend. */
  recordUnsent({ isSilent }: AttemptFailure): void {
    this.uncount();
    if (isSilent === true) {
      this.ports.directory.find(this.backendId)?.path.noteHungConnection();
    }
  }

  /** Returns the release steps of all attempts; see `RunningAttempt.releaseSteps`. */
  releaseSteps(): Array<() => void> {
    // The outcome of an attempt may not be recorded yet.
    this.hasRun ||= this.countedAttempts > 0;
    const attempts = new Set([this.attempt, this.newest]);
    return [...attempts].flatMap((attempt) => attempt?.releaseSteps() ?? []);
  }

  /** Records that a backend may have executed the request. */
  noteMayHaveRun(): void {
    this.hasRun = true;
  }
}
