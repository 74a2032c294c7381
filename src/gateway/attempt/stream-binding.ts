/** Binds a stream to the software version that began it, without I/O. */
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { PlacementConstraints } from '../dispatch/dispatch-request.js';
import type { AcceptedRequest } from './accepted-request.js';

/** The placement constraints of one request over all of its attempts. */
export class StreamBinding implements PlacementConstraints {
  private version: SoftwareVersion | undefined;
  private sentTo: SoftwareVersion | undefined;
  private isBoundByLastAttempt = false;

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

  /** Records the version that the backend runs to which the request is sent. */
  noteSent(version: SoftwareVersion): void {
    this.sentTo = version;
    this.isBoundByLastAttempt = false;
  }

  /**
   * Records that the process that runs the last attempt is not the one that was known when it was
   * sent, and has `version`.
   *
   * @returns whether the attempt may go on: false if earlier events are of another version
   */
  correctSent(version: SoftwareVersion): boolean {
    this.sentTo = version;
    if (this.isBoundByLastAttempt) {
      this.version = version;
    }
    return this.version === undefined || this.version === version;
  }

  /**
   * Binds the stream to the version that the last attempt was sent to. Must be called before an
   * event of that attempt is sent to the caller; has no effect on a stream that is already bound.
   *
   * @returns the version if this call bound it
   */
  bind(): SoftwareVersion | undefined {
    if (this.version !== undefined) {
      return undefined;
    }
    this.version = this.sentTo;
    this.isBoundByLastAttempt = true;
    return this.version;
  }
}
