/** The request model after admission. */
import type { HeaderValue } from '../../http/header-value.js';
import type { AllowedRegions } from '../../routing/backend-restriction.js';
import type { Route } from '../../routing/configuration.js';
import type { RouteAndTenant } from '../../routing/region-restrictions.js';
import type { StreamKey } from '../../streams/stream-key.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { RawHeaders } from '../admission/caller-protocol.js';

/** A request that passed admission, with its complete body. */
export interface AcceptedRequest {
  readonly requestId: HeaderValue;
  readonly route: Route;
  readonly service: string;
  readonly tenant: HeaderValue | undefined;
  readonly tier: number;
  readonly rankInTier: number;
  /**
   * Regions allowed by the configuration in force at the time of the read; undefined allows any.
   */
  readonly allowedRegions: AllowedRegions;
  /**
   * Route and tenant whose settings restrict the regions; sent to slot agents that report `homes`,
   * so that they can look up the allowed regions themselves.
   */
  readonly homeOwner?: RouteAndTenant | undefined;
  readonly arrivedAtMs: number;
  /** Estimated time of the caller's first attempt; `arrivedAtMs` unless this is a retry. */
  readonly firstAttemptAtMs: number;
  /** The caller's deadline or the route's timeout, whichever comes first. */
  readonly deadlineAtMs: number;
  readonly workUnits: number;
  /** Prompt tokens; 0 if the request states none. */
  readonly promptTokens: number;
  /** Ids of the parts of the prompt that other requests may share; empty if it names none. */
  readonly sharedPromptParts: readonly string[];
  /**
   * Quota charged to the tenant for the request and again for each charged retry, in tokens or
   * requests; 0 for a tenant without a quota.
   */
  readonly quotaCost: number;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: HeaderValue | undefined;
  /** Id of the caller's request that received the first event of the stream that it resumes. */
  readonly resumedRequestId: string | undefined;
  /**
   * Identifies the stream that the request begins or resumes; undefined if its route has no
   * resumable streams or the caller sent no id.
   */
  readonly streamKey: StreamKey | undefined;
  /** How long the caller may still resume the stream, in milliseconds. */
  readonly resumableForMs: number;
  /**
   * Software version that began the stream that the caller resumes; undefined for any, if the
   * request begins a stream.
   */
  readonly resumedVersion: SoftwareVersion | undefined;
}
