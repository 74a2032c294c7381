/** Derives the idle timeout of a connection from the backend's `Keep-Alive` header. */

/** Matches the `timeout` parameter of a `Keep-Alive` header, in whole seconds. */
const TIMEOUT_PATTERN = /(?:^|[\s,;])timeout\s*=\s*(\d+)/i;
const MS_PER_S = 1_000;
/**
 * Backends round the timeout to whole seconds, up or down, so the actual one may be this many
 * milliseconds shorter.
 */
const ROUNDING_MS = 1_000;
/**
 * Minimum share of the advertised timeout that is used: one second rarely means an actual timeout
 * of zero.
 */
const MIN_USED_SHARE = 0.5;

/**
 * Returns the timeout advertised by a `Keep-Alive` header, reduced by the possible rounding error,
 * so that the gateway closes the connection before the backend does.
 *
 * @returns milliseconds; Infinity if the header states no timeout
 */
export function keepAliveTimeoutMs(header: string | undefined): number {
  const seconds = TIMEOUT_PATTERN.exec(header ?? '')?.[1];
  if (seconds === undefined) {
    return Infinity;
  }
  const advertisedMs = Number(seconds) * MS_PER_S;
  return Math.max(advertisedMs - ROUNDING_MS, advertisedMs * MIN_USED_SHARE);
}
