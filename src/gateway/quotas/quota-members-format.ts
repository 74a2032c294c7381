/** Text encoding of the membership record, independent of the store that holds it. */
import * as z from 'zod/mini';
import type { StorePosition } from '../../cluster/store-position.js';
import { NO_QUOTA_MEMBERS } from './quota-members.js';
import type { QuotaMembersChange, QuotaMembersRecord } from './quota-members.js';

const membersSchema = z.array(
  z.object({
    name: z.string().check(z.minLength(1)),
    zone: z.string(),
    region: z.string(),
    address: z.string(),
  }),
);
const count = z.number().check(z.minimum(0));
const recordSchema = z.object({
  members: membersSchema,
  settled: membersSchema,
  /** Absent in records of earlier releases. */
  sequence: z._default(count, 0),
  credits: count,
  creditedAtMs: count,
});

/**
 * Decodes the record; `text` is undefined once it was deleted. A record that cannot be decoded has
 * no members, but keeps its position, so that it can be overwritten.
 */
export function decodeQuotaMembers(
  text: string | undefined,
  { epoch, revision }: StorePosition,
): QuotaMembersRecord {
  if (text === undefined) {
    return { ...NO_QUOTA_MEMBERS, epoch };
  }
  const parsed = recordSchema.safeParse(parseJson(text));
  return parsed.success
    ? { ...parsed.data, epoch, revision }
    : { ...NO_QUOTA_MEMBERS, epoch, revision };
}

/** Encodes a record to be written. */
export function encodeQuotaMembers(change: QuotaMembersChange): string {
  const { members, settled, sequence, credits, creditedAtMs } = change;
  return JSON.stringify({ members, settled, sequence, credits, creditedAtMs });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
