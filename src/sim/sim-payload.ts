/** What simulated callers send and simulated back ends read: the prompt's text; its length goes beside it. */
import { z } from 'zod';

const payloadSchema = z.object({ prompt: z.string() });

/** The body of a simulated request. */
export function createSimPayload(prompt: string): string {
  return JSON.stringify({ prompt });
}

/** Reads the body of a simulated request. */
export function readSimPayload(body: string): z.infer<typeof payloadSchema> {
  return payloadSchema.parse(JSON.parse(body));
}
