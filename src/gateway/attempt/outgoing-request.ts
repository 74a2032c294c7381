/** Builds the request that is sent to a backend. */
import type { HeaderValue } from '../../http/header-value.js';
import { endToEndHeaders } from '../admission/caller-protocol.js';
import type { CallerProtocol } from '../admission/caller-protocol.js';
import type { Backend } from '../../routing/backend.js';
import { mayRunAgain } from '../../routing/configuration.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { OutgoingAttempt } from './attempt.js';

/** Per-attempt values that an outgoing request depends on. */
export interface AttemptContext {
  readonly backend: Backend;
  /** Round-trip time to the backend, in milliseconds. */
  readonly roundTripMs: number;
  /** Id of the last event sent to the caller, if the attempt resumes a stream. */
  readonly lastEventId: HeaderValue | undefined;
  /** Whether the process that runs the attempt must be identified. */
  readonly needsProcess: boolean;
  readonly nowMs: number;
}

const NO_HEADERS = new Set<string>();
/**
 * Lower bound of the remaining time sent; a backend might not start a request that has none left.
 */
const MIN_REMAINING_MS = 1;

/** Returns the outgoing request with the gateway's headers added. */
export function outgoingRequest(
  request: AcceptedRequest,
  { backend, roundTripMs, lastEventId, needsProcess, nowMs }: AttemptContext,
  protocol: CallerProtocol,
): OutgoingAttempt {
  const { requestId, tenant, method, path, body, route } = request;
  const headers = protocol.attemptHeaders(endToEndHeaders(request.headers, NO_HEADERS), {
    requestId,
    remainingMs: Math.max(MIN_REMAINING_MS, Math.floor(request.deadlineAtMs - nowMs)),
    backendName: backend.name,
    tenant,
    lastEventId,
  });
  return {
    backend,
    roundTripMs,
    method,
    path,
    headers,
    body,
    isRepeatable: mayRunAgain(route),
    needsProcess,
  };
}
