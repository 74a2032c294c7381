/** Query: what it costs that a request would open a connection to a back end. */
import type { KnownBackend } from './known-backend.js';

/**
 * What a new connection is worth in time beside the way there and back, in milliseconds: a handshake of a
 * millisecond at the back end, and two thirds of what the bytes of a request to another region are worth, as
 * they are priced to each other. Chosen, not measured.
 */
const NEW_CONNECTION_MS = 6;

/** Cost of a connection, in milliseconds; nothing where one rests. */
export function connectionCostMs(known: KnownBackend, isOneResting: boolean): number {
  return isOneResting ? 0 : known.roundTrip.ms + NEW_CONNECTION_MS;
}
