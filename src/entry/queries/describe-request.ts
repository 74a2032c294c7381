/** Query for the request fields that both the bid and the bind carry. */
import type { BidMessage } from '../../protocol/messages.js';
import type { EntryEventContext, ActiveRequest } from '../entry-state.js';

/** Returns the request fields that are common to bids and binds. */
export function agentRequestFields(
  context: EntryEventContext,
  request: ActiveRequest,
): Omit<BidMessage, 'kind' | 'isUrgent'> {
  const { description } = request;
  return {
    id: description.id,
    tenant: description.tenant,
    model: description.model,
    dataLabels: description.dataLabels,
    tier: description.tier,
    deadlineInMs: description.deadlineAtMs - context.nowMs,
    promptTokens: description.promptTokens,
    maxOutputTokens: description.maxOutputTokens,
  };
}
