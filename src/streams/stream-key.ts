/** Identifies a stream to every process, by the request that received its first event. */
import { createHash } from 'node:crypto';

declare const brand: unique symbol;

/**
 * Key of a stream. Only the tenant that began a stream can name it, and only on the same path, so
 * that a caller learns nothing of the streams of others.
 */
export type StreamKey = string & { readonly [brand]: true };

/** What identifies a stream. */
export interface StreamIdentity {
  /** Undefined for an anonymous caller. */
  readonly tenant: string | undefined;
  readonly host: string;
  /** Path, with or without the query. */
  readonly path: string;
  /** Id of the request that received the first event. */
  readonly requestId: string;
}

/**
 * Length of the truncated hash, in bytes: collisions are negligible among the streams of any fleet,
 * and another tenant cannot search for one.
 */
const KEY_BYTES = 12;
/** Separates the parts; occurs in none of them. */
const SEPARATOR = '\n';

/** Returns the key of a stream. */
export function streamKeyOf({ tenant, host, path, requestId }: StreamIdentity): StreamKey {
  const [withoutQuery = ''] = path.split('?', 1);
  return createHash('sha256')
    .update([tenant ?? '', host, withoutQuery, requestId].join(SEPARATOR))
    .digest()
    .subarray(0, KEY_BYTES)
    .toString('base64url') as StreamKey;
}
