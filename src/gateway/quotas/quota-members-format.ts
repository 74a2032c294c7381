/** The record of the members as text: the product's own format, wherever the text is kept. */
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
  /** Earlier releases wrote none. */
  sequence: z._default(count, 0),
  credits: count,
  creditedAtMs: count,
});

/**
 * Reads the record; `text` is undefined once it was removed. One that cannot be read names nobody, but can be
 * overwritten at its position.
 */
export function decodeQuotaMembers(
  text: string | undefined,
  { epoch, revision }: StorePosition,
): QuotaMembersRecord {
  if (text === undefined) {
    return { ...NO_QUOTA_MEMBERS, epoch };
  }
  const read = recordSchema.safeParse(parseJson(text));
  return read.success
    ? { ...read.data, epoch, revision }
    : { ...NO_QUOTA_MEMBERS, epoch, revision };
}

/** The text of the record. */
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
