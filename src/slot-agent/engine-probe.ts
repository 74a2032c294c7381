/** Probes an engine by requesting its status report over HTTP. */
import { Agent } from 'node:http';
import { callJson } from '../cluster/json-call.js';
import type { JsonCall } from '../cluster/json-call.js';
import type { EngineProbeResult } from './engine-health.js';
import type { EngineProbe } from './slot-agent-role.js';

/** Timeout of a probe, in milliseconds; an engine on the same machine responds within a few. */
const PROBE_TIMEOUT_MS = 200;

/**
 * Creates a probe that issues `call` and decodes the response body with `read`; the body is
 * undefined if the response has none.
 */
export function createHttpEngineProbe(
  call: JsonCall,
  read: (body: unknown) => EngineProbeResult,
): EngineProbe {
  const keepAliveAgent = new Agent({ keepAlive: true });
  return async () => {
    const response = await callJson(call, PROBE_TIMEOUT_MS, keepAliveAgent);
    if (response.ok) {
      return read(response.val.body);
    }
    const { reason } = response.val;
    if (reason === 'closed' || reason === 'silent') {
      return { kind: reason };
    }
    // The kept-alive connection may lead to an exited process; a new one shows whether another
    // listens.
    return probeOnNewConnection(call, read);
  };
}

async function probeOnNewConnection(
  call: JsonCall,
  read: (body: unknown) => EngineProbeResult,
): Promise<EngineProbeResult> {
  const response = await callJson(call, PROBE_TIMEOUT_MS, new Agent());
  if (response.ok) {
    return read(response.val.body);
  }
  return { kind: response.val.reason === 'closed' ? 'closed' : 'silent' };
}
