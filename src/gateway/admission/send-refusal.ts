/** Sends an answer of the gateway's own. */
import type { CallerReply } from '../attempt/attempt.js';
import type { CallerProtocol } from './caller-protocol.js';
import { statusOfRefusal } from './gateway-refusal.js';
import type { GatewayRefusal } from './gateway-refusal.js';

/** Answers a request with `refusal`; returns the HTTP status. */
export function sendRefusal(
  reply: CallerReply,
  protocol: CallerProtocol,
  requestId: string | undefined,
  refusal: GatewayRefusal,
): number {
  const status = statusOfRefusal(refusal);
  const body = Buffer.from(JSON.stringify({ error: refusal.reason }));
  const headers = protocol.ownAnswerHeaders(requestId, refusal.retryAfterMs);
  headers.push('Content-Type', 'application/json', 'Content-Length', `${body.length}`);
  reply.start(status, headers);
  reply.end(body);
  return status;
}
