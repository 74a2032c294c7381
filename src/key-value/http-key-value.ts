/** HTTP client of the platform's key-value service. */
import { request } from 'undici';
import { z } from 'zod';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { PlatformAnswerLostError, PlatformUnavailableError } from './errors.js';
import type { PlatformError } from './errors.js';
import type { KeyValueClient, KeyValueEntry, LeaseGrant, SwapOutcome } from './key-value.js';

const entrySchema = z.object({ value: z.unknown(), revision: z.number() });
const getSchema = z.object({ entry: entrySchema.nullable() });
const swapSchema = z.object({
  swapped: z.boolean(),
  revision: z.number().optional(),
  current: entrySchema.nullable().optional(),
});
const leaseSchema = z.object({
  grant: z
    .object({ holder: z.string(), fencingNumber: z.number(), durationMs: z.number() })
    .nullable(),
});

const HTTP_OK = 200;

/** Calls the platform's key-value service over HTTP. */
export class HttpKeyValueClient implements KeyValueClient {
  constructor(
    private readonly baseUrl: string,
    private readonly timeoutMs: number,
  ) {}

  async get(key: string): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    const response = await this.call({ operation: 'get', key }, this.timeoutMs, getSchema);
    return response.ok ? ok(response.val.entry ?? undefined) : err(response.val);
  }

  async compareAndSwap(
    key: string,
    expectedRevision: number,
    value: unknown,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const body = { operation: 'compare-and-swap', key, expectedRevision, value };
    const response = await this.call(body, this.timeoutMs, swapSchema);
    if (!response.ok) {
      return err(response.val);
    }
    const { swapped, revision, current } = response.val;
    return swapped
      ? ok({ swapped: true, revision: revision ?? 0 })
      : ok({ swapped: false, current: current ?? undefined });
  }

  async watch(
    key: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    const body = { operation: 'watch', key, afterRevision, waitMs };
    const response = await this.call(body, waitMs + this.timeoutMs, getSchema);
    return response.ok ? ok(response.val.entry ?? undefined) : err(response.val);
  }

  async acquireLease(
    name: string,
    holder: string,
    durationMs: number,
  ): Promise<Result<LeaseGrant | undefined, PlatformError>> {
    const body = { operation: 'acquire-lease', name, holder, durationMs };
    const response = await this.call(body, this.timeoutMs, leaseSchema);
    return response.ok ? ok(response.val.grant ?? undefined) : err(response.val);
  }

  private async call<Schema extends z.ZodType>(
    body: object,
    timeoutMs: number,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, PlatformError>> {
    try {
      const response = await request(`${this.baseUrl}/key-value`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      const text = await response.body.text();
      if (response.statusCode !== HTTP_OK) {
        return err(
          new PlatformUnavailableError(
            `the key-value service responded with status ${response.statusCode}`,
          ),
        );
      }
      return ok(schema.parse(JSON.parse(text)));
    } catch (cause) {
      return err(classify(cause));
    }
  }
}

/**
 * Maps a transport error or malformed response: without a status code, only a refused connection
 * shows that the call had no effect.
 */
function classify(cause: unknown): PlatformError {
  const isRefused = (cause as { code?: string }).code === 'ECONNREFUSED';
  return isRefused
    ? new PlatformUnavailableError('the key-value service refused the connection')
    : new PlatformAnswerLostError(String(cause));
}
