/** Binds a stream to the software version that began it, without I/O. */
import { UNIDENTIFIED_VERSION } from '../../streams/software-version.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { PlacementConstraints } from '../dispatch/dispatch-request.js';
import type { AcceptedRequest } from './accepted-request.js';

/** The placement constraints of one request over all of its attempts. */
export class StreamBinding implements PlacementConstraints {
  private version: SoftwareVersion | undefined;
  private sentTo: SoftwareVersion = UNIDENTIFIED_VERSION;
  private isBoundByLast = false;

  constructor(private readonly request: AcceptedRequest) {
    this.version = request.resumedVersion;
  }

  get service(): string {
    return this.request.service;
  }

  get allowedRegions(): PlacementConstraints['allowedRegions'] {
    return this.request.allowedRegions;
  }

  get requiredVersion(): SoftwareVersion | undefined {
    return this.version;
  }

  /** Whether the last attempt began the stream. */
  get isBoundByLastAttempt(): boolean {
    return this.isBoundByLast;
  }

  /**
   * Whether the events of the last attempt must be held back: they would follow those of an earlier
   * process, and it is not known that both run the same version.
   */
  get mustHoldEvents(): boolean {
    const isBoundEarlier = this.version !== undefined && !this.isBoundByLast;
    return isBoundEarlier && this.sentTo === UNIDENTIFIED_VERSION;
  }

  /**
   * Records the version that runs the attempt that is sent now; undefined until its process is
   * identified.
   */
  noteSent(version: SoftwareVersion | undefined): void {
    this.sentTo = version ?? UNIDENTIFIED_VERSION;
    this.isBoundByLast = false;
  }

  /**
   * Records the version of the process that runs the last attempt, once it is identified.
   *
   * @returns whether the attempt may go on: false if earlier events are of another version
   */
  identifySent(version: SoftwareVersion): boolean {
    this.sentTo = version;
    if (this.isBoundByLast) {
      this.version = version;
    }
    return this.version === undefined || this.version === version;
  }

  /**
   * Binds the stream to the version that runs the last attempt. Must be called before an event of
   * that attempt is sent to the caller; has no effect on a stream that is already bound.
   *
   * @returns the version if this call bound it
   */
  bind(): SoftwareVersion | undefined {
    if (this.version !== undefined) {
      return undefined;
    }
    this.version = this.sentTo;
    this.isBoundByLast = true;
    return this.version;
  }
}
