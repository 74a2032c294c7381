/** Looks at an engine by its own report over HTTP. */
import { Agent } from 'node:http';
import { callJson } from '../cluster/json-call.js';
import type { JsonCall } from '../cluster/json-call.js';
import type { EngineReading } from './engine-watch.js';
import type { EngineReport } from './slot-agent-role.js';

/** Longest time for a look, in milliseconds: an engine on the same machine answers within a few. */
const REPORT_TIMEOUT_MS = 200;

/** Looks by `call`; `read` takes what the engine answers, undefined where that is nothing. */
export function createEngineLook(
  call: JsonCall,
  read: (body: unknown) => EngineReading,
): EngineReport {
  const kept = new Agent({ keepAlive: true });
  return async () => {
    const answer = await callJson(call, REPORT_TIMEOUT_MS, kept);
    if (answer.ok) {
      return read(answer.val.body);
    }
    const { reason } = answer.val;
    if (reason === 'closed' || reason === 'silent') {
      return { kind: reason };
    }
    // The connection that was kept may have been the old process's: a new one tells whether there is another.
    return lookAnew(call, read);
  };
}

async function lookAnew(
  call: JsonCall,
  read: (body: unknown) => EngineReading,
): Promise<EngineReading> {
  const answer = await callJson(call, REPORT_TIMEOUT_MS, new Agent());
  if (answer.ok) {
    return read(answer.val.body);
  }
  return { kind: answer.val.reason === 'closed' ? 'closed' : 'silent' };
}
