/**
 * Checks that the events of a request's attempts come from one software version, without I/O.
 *
 * What a backend announces does not show which process runs an attempt, so the process at the other
 * end of the connection is identified. Events of a resumed stream are held back until then.
 */
import { softwareVersionOfProcess } from '../../streams/software-version.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { Backend } from '../../routing/backend.js';
import type { IdentifiedProcess } from '../processes/process-identifier.js';
import type { AcceptedRequest } from './accepted-request.js';
import { HeldResponse } from './held-response.js';
import type { RequestPorts } from './request-model.js';
import type { RunningAttempt } from './running-attempt.js';
import type { StreamBinding } from './stream-binding.js';

/** The request whose attempts are checked. */
export interface CheckedRequest {
  /** Forwards data that was held back. */
  relayData(bytes: Buffer): void;
  /** Completes an attempt whose end was held back. */
  receiveEnd(): void;
  /** Ends the current attempt, whose events must not follow those that were sent to the caller. */
  leaveProcess(detail: string): void;
}

/** Checks the processes that run the attempts of one request. */
export class ProcessCheck {
  private attempt: RunningAttempt | undefined;
  private readonly held = new HeldResponse();
  /** Changes with each begin and end of an attempt. */
  private generation = 0;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly binding: StreamBinding,
    private readonly ports: RequestPorts,
    private readonly checked: CheckedRequest,
  ) {}

  /**
   * Starts the check of an attempt.
   *
   * @param version - software version that the backend is known to run; undefined if the attempt
   *   reports its process
   */
  begin(attempt: RunningAttempt, version: SoftwareVersion | undefined): void {
    this.generation += 1;
    this.attempt = attempt;
    this.held.clear();
    this.binding.noteSent(version);
  }

  /** Whether the process that runs an attempt at the backend must be identified. */
  isNeededAt(backend: Backend): boolean {
    const { kind, isResumable } = this.request.route;
    return kind === 'stream' && isResumable && this.ports.mustIdentifyProcess(backend);
  }

  /**
   * Whether events of a process at the backend may follow those that were sent to the caller;
   * `process` is undefined if it could not be found out.
   */
  mayFollow(backend: Backend, process: IdentifiedProcess | undefined): boolean {
    const { requiredVersion } = this.binding;
    if (requiredVersion === undefined || process === undefined) {
      return requiredVersion === undefined;
    }
    return this.versionOf(backend, process) === requiredVersion;
  }

  /** Binds the stream; must be called before its first event is sent to the caller. */
  bindStream(): void {
    const version = this.binding.bind();
    if (version !== undefined) {
      this.ports.onStreamBegun(this.request, this.attempt!.backend, version);
    }
  }

  /** Drops what is held of an attempt that has ended. */
  end(): void {
    this.generation += 1;
    this.held.clear();
  }

  /** Whether the process must be identified before what it sends can be used. */
  get mustHoldEvents(): boolean {
    return this.binding.mustHoldEvents;
  }

  /** Holds data back if the process must be identified first; returns whether it does. */
  holdData(bytes: Buffer): boolean {
    if (!this.mustHoldEvents) {
      return false;
    }
    this.held.add(bytes);
    this.attempt?.transfer?.pause();
    return true;
  }

  /** Holds the end of the response back in the same way; returns whether it does. */
  holdEnd(): boolean {
    if (!this.mustHoldEvents) {
      return false;
    }
    this.held.addEnd();
    return true;
  }

  /**
   * Returns the handler of the process that runs the current attempt, which is undefined if it could
   * not be found out. The handler has no effect once the attempt has ended.
   */
  createReceiver(): (process: IdentifiedProcess | undefined) => void {
    const { generation } = this;
    return (process) => {
      if (generation === this.generation) {
        this.receiveProcess(process);
      }
    };
  }

  private receiveProcess(process: IdentifiedProcess | undefined): void {
    if (process !== undefined) {
      this.applyProcess(process);
    } else if (this.binding.mustHoldEvents) {
      this.checked.leaveProcess('its process is not known');
    }
  }

  private applyProcess(process: IdentifiedProcess): void {
    const { binding, ports, request } = this;
    const { backend, log } = this.attempt!;
    log!.process = process;
    ports.dispatcher.noteProcess(backend.id, process.bornAtMs, ports.clock.now());
    const version = this.versionOf(backend, process);
    if (!binding.identifySent(version)) {
      this.checked.leaveProcess('another process than the announced one');
      return;
    }
    if (binding.isBoundByLastAttempt) {
      ports.onStreamBegun(request, backend, version);
    }
    this.release();
  }

  private versionOf(backend: Backend, { bornAtMs }: IdentifiedProcess): SoftwareVersion {
    return (
      this.ports.directory.find(backend.id)?.versionOfProcess(bornAtMs) ??
      softwareVersionOfProcess(backend, bornAtMs)
    );
  }

  private release(): void {
    if (this.held.isEmpty) {
      return;
    }
    // Before the data: the caller's backpressure may pause the attempt again.
    this.attempt?.transfer?.resume();
    this.held.release(
      (bytes) => this.checked.relayData(bytes),
      () => this.checked.receiveEnd(),
    );
  }
}
