/** Query: a request as it goes out to a back end. */
import { endToEndHeaders } from '../admission/caller-protocol.js';
import type { CallerProtocol } from '../admission/caller-protocol.js';
import type { Backend } from '../../routing/backend.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { OutgoingAttempt } from './attempt.js';

/** What a send is reckoned from beside the request. */
export interface SendMoment {
  readonly backend: Backend;
  /** Time of a message there and back, in milliseconds. */
  readonly roundTripMs: number;
  /** Id of the last event that the caller has got, where the send continues a stream. */
  readonly lastEventId: string | undefined;
  readonly nowMs: number;
}

const NO_HEADERS = new Set<string>();
/** A back end that is told of no time at all might not begin. */
const MIN_REMAINING_MS = 1;

/** The request with the headers that the gateway sets. */
export function outgoingRequest(
  request: AcceptedRequest,
  { backend, roundTripMs, lastEventId, nowMs }: SendMoment,
  protocol: CallerProtocol,
): OutgoingAttempt {
  const { requestId, tenant, method, path, body } = request;
  const headers = protocol.attemptHeaders(endToEndHeaders(request.headers, NO_HEADERS), {
    requestId,
    remainingMs: Math.max(MIN_REMAINING_MS, Math.floor(request.endsAtMs - nowMs)),
    backendName: backend.name,
    tenant,
    lastEventId,
  });
  return { backend, roundTripMs, method, path, headers, body };
}
