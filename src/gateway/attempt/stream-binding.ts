/** Binds a stream to the software version that began it, without I/O. */
import type { Backend } from '../../routing/backend.js';
import { softwareVersionOf } from '../../streams/software-version.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { PlacementConstraints } from '../dispatch/dispatch-request.js';
import type { AcceptedRequest } from './accepted-request.js';

/** The placement constraints of one request over all of its attempts. */
export class StreamBinding implements PlacementConstraints {
  private version: SoftwareVersion | undefined;

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

  /**
   * Binds the stream to the backend's version. Must be called before an event of the backend is
   * sent to the caller; has no effect on a stream that is already bound.
   *
   * @returns whether this call bound it
   */
  bindTo(backend: Backend): boolean {
    if (this.version !== undefined) {
      return false;
    }
    this.version = softwareVersionOf(backend);
    return true;
  }
}
