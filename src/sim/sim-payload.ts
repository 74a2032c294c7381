/**
 * Body of simulated requests: the text of the prompt; its token count is sent in a separate field.
 */
import { z } from 'zod';

const payloadSchema = z.object({ prompt: z.string() });

/** Encodes the body of a simulated request. */
export function createSimPayload(prompt: string): string {
  return JSON.stringify({ prompt });
}

/** Parses the body of a simulated request. */
export function readSimPayload(body: string): z.infer<typeof payloadSchema> {
  return payloadSchema.parse(JSON.parse(body));
}
