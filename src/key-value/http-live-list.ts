/** HTTP client of the platform's live list, the service registry of live and leaving machines. */
import { request } from 'undici';
import { z } from 'zod';
import { machineSchema } from '../membership/machine.js';
import type { Machine } from '../membership/machine.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { PlatformUnavailableError } from './errors.js';

const listSchema = z.array(machineSchema);
const HTTP_OK = 200;

/** Client of the live list. */
export interface LiveListClient {
  /** Returns the current records of the list. */
  list(): Promise<Result<Machine[], PlatformUnavailableError>>;
  /** Registers `machine`, or updates its record. */
  announce(machine: Machine): Promise<Result<void, PlatformUnavailableError>>;
}

/** Calls the live list over HTTP. */
export class HttpLiveListClient implements LiveListClient {
  constructor(
    private readonly baseUrl: string,
    private readonly timeoutMs: number,
  ) {}

  async list(): Promise<Result<Machine[], PlatformUnavailableError>> {
    const text = await this.call('GET');
    return text.ok ? ok(listSchema.parse(JSON.parse(text.val))) : err(text.val);
  }

  async announce(machine: Machine): Promise<Result<void, PlatformUnavailableError>> {
    const text = await this.call('PUT', JSON.stringify(machine));
    return text.ok ? ok(undefined) : err(text.val);
  }

  private async call(
    method: 'GET' | 'PUT',
    body?: string,
  ): Promise<Result<string, PlatformUnavailableError>> {
    try {
      const response = await request(`${this.baseUrl}/machines`, {
        method,
        body,
        headersTimeout: this.timeoutMs,
        bodyTimeout: this.timeoutMs,
      });
      const text = await response.body.text();
      return response.statusCode === HTTP_OK
        ? ok(text)
        : err(
            new PlatformUnavailableError(
              `the live list responded with status ${response.statusCode}`,
            ),
          );
    } catch (cause) {
      return err(new PlatformUnavailableError(String(cause)));
    }
  }
}
