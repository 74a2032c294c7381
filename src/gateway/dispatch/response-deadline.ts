/** Decides whether a backend is expected to respond within the time that a request has left. */
import { loadedFirstEventMs } from './backend-cost.js';
import type { DispatchRequest, ResponseDeadline } from './dispatch-request.js';
import type { KnownBackend } from './known-backend.js';

/**
 * Whether the request meets its deadline, if it has one, when it is sent to the backend now. A
 * backend without a speed of its own counts as fast enough.
 */
export function isExpectedInTime(
  request: DispatchRequest,
  known: KnownBackend,
  nowMs: number,
): boolean {
  const { deadline } = request;
  return (
    deadline === undefined ||
    nowMs + expectedResponseMs(request, deadline.part, known) <= deadline.atMs
  );
}

function expectedResponseMs(
  request: DispatchRequest,
  part: ResponseDeadline['part'],
  known: KnownBackend,
): number {
  const firstEventMs = loadedFirstEventMs(request, known);
  const wholeMs = (known.msPerUnit ?? 0) * request.units;
  const responseMs = part === 'first-event' ? firstEventMs : Math.max(firstEventMs, wholeMs);
  return responseMs + known.roundTrip.ms;
}
