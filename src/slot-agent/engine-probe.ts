/** Probes an engine by requesting its status report over HTTP. */
import { Agent } from 'node:http';
import { callJson } from '../cluster/json-call.js';
import type { JsonCall } from '../cluster/json-call.js';
import { SurplusGuardAgent } from '../http/surplus-guard-agent.js';
import type { EngineProbeResult } from './engine-health.js';
import type { EngineProbe } from './slot-agent-role.js';

/**
 * Timeout of one status request, in milliseconds; an engine on the same machine responds within a
 * few.
 */
const PROBE_TIMEOUT_MS = 200;

/**
 * Creates a probe that issues `call` and decodes the response body with `decodeBody`; the body is
 * undefined if the response has none.
 */
export function createHttpEngineProbe(
  call: JsonCall,
  decodeBody: (body: unknown) => EngineProbeResult,
): EngineProbe {
  const keepAliveAgent = new SurplusGuardAgent({ keepAlive: true });
  return async () => {
    const response = await callJson(call, PROBE_TIMEOUT_MS, keepAliveAgent);
    if (response.ok) {
      return decodeBody(response.val.body);
    }
    const { reason } = response.val;
    if (reason === 'closed' || reason === 'silent') {
      return { kind: reason };
    }
    // The kept-alive connection may belong to a process that has exited; a new one shows whether
    // another process listens.
    return probeOnNewConnection(call, decodeBody);
  };
}

async function probeOnNewConnection(
  call: JsonCall,
  decodeBody: (body: unknown) => EngineProbeResult,
): Promise<EngineProbeResult> {
  const response = await callJson(call, PROBE_TIMEOUT_MS, new Agent());
  if (response.ok) {
    return decodeBody(response.val.body);
  }
  return { kind: response.val.reason === 'closed' ? 'closed' : 'silent' };
}
