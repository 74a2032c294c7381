/** The platform's list of live and leaving machines over HTTP. */
import { request } from 'undici';
import { z } from 'zod';
import { machineSchema } from '../membership/machine.js';
import type { Machine } from '../membership/machine.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { PlatformUnavailableError } from './errors.js';

const listSchema = z.array(machineSchema);
const HTTP_OK = 200;

/** The platform's list of live and leaving machines. */
export interface LiveListClient {
  /** The machines as the list shows them now. */
  list(): Promise<Result<Machine[], PlatformUnavailableError>>;
  /** Enters this machine in the list, or changes its state there. */
  announce(machine: Machine): Promise<Result<void, PlatformUnavailableError>>;
}

/** The list over HTTP. */
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
        : err(new PlatformUnavailableError(`the list answered ${response.statusCode}`));
    } catch (cause) {
      return err(new PlatformUnavailableError(String(cause)));
    }
  }
}
