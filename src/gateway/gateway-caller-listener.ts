/** Creates the listener for callers of a gateway and reports its accept backlogs. */
import type { AfterPollQueue } from '../after-poll-queue.js';
import { ClientMemory } from '../http/client-memory.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { AcceptBacklog } from './admission/accept-backlog-monitor.js';
import { CallerListener } from './admission/caller-listener.js';
import type { RequestHandler } from './admission/caller-listener.js';
import type { RejectionCause } from './admission/rejected-connections.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** Dependencies of the listener. */
export interface CallerListenerDependencies {
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Handles a request head and returns the callbacks for its body. */
  readonly receive: RequestHandler;
  readonly maxBodyBytes: () => number;
  /** Memory that all callers may hold together, in bytes. */
  readonly callerMemoryBytes: number;
  /** Connections of callers that may be open at the same time. */
  readonly maxConnections: number;
  readonly afterPolls: AfterPollQueue;
  /** Called after each response that was flushed or whose caller disconnected. */
  readonly onFlushed: () => void;
}

const MS_PER_S = 1_000;
/** Duration of an accept backlog from which it is logged, in milliseconds. */
const LOGGED_BACKLOG_MS = 200;

/** Returns a listener that does not listen yet. */
export function createCallerListener(dependencies: CallerListenerDependencies): CallerListener {
  const { receive, maxBodyBytes, afterPolls, onFlushed } = dependencies;
  const onAcceptBacklog = (backlog: AcceptBacklog) => reportAcceptBacklog(dependencies, backlog);
  const onRejected = (cause: RejectionCause) => reportRejection(dependencies, cause);
  return new CallerListener(
    receive,
    maxBodyBytes,
    afterPolls,
    onAcceptBacklog,
    onFlushed,
    onRejected,
    new ClientMemory(dependencies.callerMemoryBytes),
    dependencies.maxConnections,
  );
}

function reportAcceptBacklog(
  { log, metrics }: CallerListenerDependencies,
  { connections, durationMs }: AcceptBacklog,
): void {
  metrics.record(({ acceptBacklogSeconds }) => acceptBacklogSeconds.observe(durationMs / MS_PER_S));
  if (durationMs >= LOGGED_BACKLOG_MS) {
    log.write('accept-backlog', 'state', { connections, durationMs });
  }
}

function reportRejection(
  { log, metrics }: CallerListenerDependencies,
  cause: RejectionCause,
): void {
  metrics.record(({ callerConnectionsClosed }) => callerConnectionsClosed.inc({ cause }));
  log.write('caller-connection-closed', 'state', { cause });
}
