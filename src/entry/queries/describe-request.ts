/** Query: what an agent is told of a request, in a bid and again in its bind. */
import type { BidMessage } from '../../protocol/messages.js';
import type { EntryTurn, HeldRequest } from '../entry-state.js';

/** The parts of a request that both messages carry. */
export function describeForAgent(
  turn: EntryTurn,
  held: HeldRequest,
): Omit<BidMessage, 'kind' | 'isUrgent'> {
  const { description } = held;
  return {
    id: description.id,
    tenant: description.tenant,
    model: description.model,
    dataLabels: description.dataLabels,
    tier: description.tier,
    deadlineInMs: description.deadlineAtMs - turn.nowMs,
    promptTokens: description.promptTokens,
    maxOutputTokens: description.maxOutputTokens,
  };
}
