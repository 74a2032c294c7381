/** Joins what back ends say of themselves to a gateway: its log and its metrics. */
import type { Clock } from '../clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { HeardAnswer } from './attempt/request-model.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';
import type { BackendCondition } from './statements/backend-condition.js';
import { BackendConditions } from './statements/backend-conditions.js';
import type { ConditionSource } from './statements/backend-conditions.js';

/** What a gateway's ear for back ends is made from. */
export interface GatewayStatementsParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** Share by which a limit has to change for another line: back ends in need may name another one with each answer. */
const LOGGED_CHANGE = 0.25;

/** What a gateway hears back ends say of themselves. */
export class GatewayStatements {
  readonly conditions: BackendConditions;
  /** Limits as they were logged last, by back end. */
  private readonly loggedLimits = new Map<string, number | undefined>();

  constructor(private readonly parts: GatewayStatementsParts) {
    this.conditions = new BackendConditions({
      onChange: (backendId, condition, source) => this.noteChange(backendId, condition, source),
    });
  }

  /** Takes in the head of an answer. */
  hear({ backend, requestId, ...heard }: HeardAnswer): void {
    const { metrics, log, clock } = this.parts;
    for (const field of heard.statement.unreadable) {
      metrics.record(({ statementsUnreadable }) => statementsUnreadable.inc({ field }));
    }
    const { restMs } = heard.statement;
    if (restMs !== undefined) {
      const fields = { backend: backend.id, request: requestId, restMs };
      log.write('backend-asks-rest', 'failure', fields);
    }
    this.conditions.hear(backend.id, heard, clock.now());
  }

  private noteChange(
    backendId: string,
    condition: BackendCondition,
    source: ConditionSource,
  ): void {
    const { limitPerS, isLeaving, restUntilMs } = condition;
    const logged = this.loggedLimits.get(backendId);
    const isSameLimit =
      limitPerS !== undefined &&
      logged !== undefined &&
      Math.abs(limitPerS - logged) <= logged * LOGGED_CHANGE;
    const restLeftMs = restUntilMs - this.parts.clock.now();
    if (isSameLimit && !isLeaving && restLeftMs <= 0) {
      return;
    }
    this.loggedLimits.set(backendId, limitPerS);
    this.parts.log.write('backend-condition', 'state', {
      backend: backendId,
      source,
      limitPerS,
      isLeaving,
      restLeftMs: restLeftMs > 0 ? restLeftMs : undefined,
    });
  }
}
