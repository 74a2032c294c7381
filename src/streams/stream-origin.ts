/** Where a stream began, and the messages by which processes exchange that. */
import type { SoftwareVersion } from './software-version.js';
import type { StreamKey } from './stream-key.js';

/** The service and software version that made the first event of a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly version: SoftwareVersion;
}

/** An origin as sent to another process; times are relative, since clocks differ. */
export interface StreamOriginReport extends StreamOrigin {
  readonly key: StreamKey;
  /** Time since the stream began, in milliseconds. */
  readonly ageMs: number;
  /** How long its caller may still resume it, in milliseconds. */
  readonly expiresInMs: number;
}

/** The newest software version of a service, and how long it has been the only one. */
export interface SoleVersion {
  readonly version: SoftwareVersion;
  /** How long no other version has been seen, in milliseconds. */
  readonly coveredMs: number;
  /** Time since a backend of another version existed, in milliseconds; omitted if none is known. */
  readonly otherVersionAgeMs?: number | undefined;
}

/** Asks the receiver to hold the origin of a stream. */
export interface HoldStreamOrigin {
  readonly kind: 'stream-began';
  readonly origin: StreamOriginReport;
}

/** Asks the receiver where a stream began. */
export interface StreamOriginQuery {
  readonly kind: 'stream-ask';
  /** Identifies the query at its sender. */
  readonly id: number;
  /** Omitted if the caller named no stream. */
  readonly key?: StreamKey | undefined;
  /** Service whose version history is asked for too; omitted for none. */
  readonly service?: string | undefined;
}

/** Response to a `stream-ask`, sent on the connection on which the query arrived. */
export interface StreamOriginAnswer {
  readonly kind: 'stream-answer';
  readonly id: number;
  /** Omitted if the sender does not hold the origin. */
  readonly origin?: StreamOriginReport | undefined;
  /** Omitted if the sender knows no backend of the service. */
  readonly soleVersion?: SoleVersion | undefined;
}
