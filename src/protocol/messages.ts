/**
 * Messages between entries and agents.
 *
 * An entry accepts requests from callers and queues them. An agent is the sidecar of one backend (a
 * model engine or a plain service) and admits requests to it. A request is assigned in three steps:
 *
 * - bid: the entry offers a queued request to several agents;
 * - call: an agent with free capacity asks the entry for one of the requests offered to it;
 * - bind: the entry assigns the request to one calling agent and sends its payload.
 *
 * A permit lets an entry bind one request to an agent without a preceding bid and call.
 *
 * Times on the wire are relative durations (`…InMs`), because the clocks of two machines differ.
 */
import { z } from 'zod';

/** Protocol version; the handshake rejects a peer of any other version. */
export const PROTOCOL_VERSION = 1;

const labels = z.record(z.string(), z.string());
const requestId = z.string().max(200);
const chunkData = z.union([
  z.string(),
  z.custom<Uint8Array>((value) => value instanceof Uint8Array),
]);

/** Handshake: the first message from each side of a connection. */
export const helloSchema = z.object({
  kind: z.literal('hello'),
  version: z.number().int(),
  role: z.enum(['entry', 'agent']),
  /** Name of the entry, or of the agent's engine. */
  name: z.string(),
  /** Unique ID of one start of the process. */
  incarnation: z.string(),
  zone: z.string(),
  /**
   * Number of the connection: the entry increases it with each connection that it opens to the same
   * agent while that agent stays in its subset, and the agent echoes it.
   */
  connectionNumber: z.number().int(),
});

/** Bid: the entry offers a waiting request to an agent. */
export const bidSchema = z.object({
  kind: z.literal('bid'),
  id: requestId,
  tenant: z.string(),
  model: z.string(),
  dataLabels: labels,
  tier: z.number().int(),
  deadlineInMs: z.number(),
  promptTokens: z.number(),
  maxOutputTokens: z.number(),
  /**
   * Whether the request will soon be shed or miss its deadline, so that the agent may preempt a
   * lower tier for it at once.
   */
  isUrgent: z.boolean(),
});

/** Withdraws earlier bids of the entry. */
export const withdrawBidsSchema = z.object({
  kind: z.literal('withdraw-bids'),
  ids: z.array(requestId),
});

/** Call: the agent can start this request now and asks the entry to bind it. */
export const callSchema = z.object({ kind: z.literal('call'), id: requestId });

/** The agent rejects a bid: it has removed or never queued it, and will not call it. */
export const bidRefusedSchema = z.object({
  kind: z.literal('bid-refused'),
  id: requestId,
  reason: z.enum(['leaving', 'not-permitted', 'full']),
});

/**
 * Bind: the entry irrevocably assigns the request to the agent that called it or issued a permit.
 */
export const bindSchema = z.object({
  kind: z.literal('bind'),
  id: requestId,
  tenant: z.string(),
  model: z.string(),
  dataLabels: labels,
  tier: z.number().int(),
  deadlineInMs: z.number(),
  promptTokens: z.number(),
  maxOutputTokens: z.number(),
  prefixHash: z.string(),
  isRepeatable: z.boolean(),
  idempotencyKey: z.string().optional(),
  payload: z.object({
    method: z.string(),
    path: z.string(),
    contentType: z.string(),
    body: z.string(),
  }),
  /** Whether the bind uses a permit instead of following a call. */
  isByPermit: z.boolean(),
  /** Policy generation under which the entry determined that the agent's engine is permitted. */
  generation: z.number().int(),
});

/**
 * The entry rejects a call: the request is no longer waiting, or may not be bound to this agent.
 */
export const declineCallSchema = z.object({ kind: z.literal('decline-call'), id: requestId });

/**
 * Reasons for rejecting a bind; each guarantees that the agent will never start the request. Among
 * them: `never-received`, the agent has no record of the request or had already refused it;
 * `policy-unknown`, the policy generation of the bind did not arrive in time; `was-paused`, the
 * agent's process was paused until shortly before and may not have handled a leave signal yet.
 */
export const bindRefusalReasonSchema = z.enum([
  'leaving',
  'not-permitted',
  'full',
  'never-received',
  'policy-unknown',
  'engine-unreachable',
  'was-paused',
]);

/** The agent rejects a bind: it has not started the request and never will. */
export const bindRefusedSchema = z.object({
  kind: z.literal('bind-refused'),
  id: requestId,
  reason: bindRefusalReasonSchema,
});

/** The backend's response has started. */
export const answerStartSchema = z.object({
  kind: z.literal('answer-start'),
  id: requestId,
  status: z.number().int(),
  contentType: z.string(),
});

/** One chunk of a response, numbered from 0. */
export const answerChunkSchema = z.object({
  kind: z.literal('answer-chunk'),
  id: requestId,
  index: z.number().int(),
  data: chunkData,
});

/** The response is complete and has `chunkCount` chunks. */
export const answerEndSchema = z.object({
  kind: z.literal('answer-end'),
  id: requestId,
  chunkCount: z.number().int(),
  promptTokens: z.number(),
  cachedPromptTokens: z.number(),
  outputTokens: z.number(),
  /** Time from the start on the engine to the first chunk. */
  prefillMs: z.number(),
  /** Time from the first chunk to the end of the response. */
  decodeMs: z.number(),
});

/** The backend started the request, or may have, but its response will not be completed. */
export const answerFailedSchema = z.object({
  kind: z.literal('answer-failed'),
  id: requestId,
  reason: z.enum(['engine-failed', 'engine-lost', 'preempted']),
  detail: z.string(),
});

/** After a reconnect or a missing chunk, the entry requests the response again from `fromChunk`. */
export const resumeAnswerSchema = z.object({
  kind: z.literal('resume-answer'),
  id: requestId,
  fromChunk: z.number().int(),
});

/** The entry has received the end of the response, or its failure; the agent may discard it. */
export const acknowledgeSchema = z.object({ kind: z.literal('acknowledge'), id: requestId });

/** No caller waits for the response, so the agent must cancel the request. */
export const cancelSchema = z.object({ kind: z.literal('cancel'), id: requestId });

/** The agent is draining and accepts no new requests. */
export const leavingSchema = z.object({ kind: z.literal('leaving') });

/**
 * The entry received the agent's `leaving` message and sends no bind after this acknowledgement.
 */
export const leavingAcknowledgedSchema = z.object({ kind: z.literal('leaving-acknowledged') });

/** Current load of the agent's engine; a hint for ranking engines and for early refusals. */
export const loadSchema = z.object({
  kind: z.literal('load'),
  running: z.number().int(),
  capacity: z.number().int(),
  waitingBids: z.number().int(),
  /** Highest tier number among the running requests; 0 if none is running. */
  lowestTierServed: z.number().int(),
});

/** Permit: the entry may bind one request without a bid within `validForMs`. */
export const permitSchema = z.object({ kind: z.literal('permit'), validForMs: z.number() });

/** Keepalive of an idle connection. */
export const pingSchema = z.object({ kind: z.literal('ping') });

/** Requests a policy update; sent when the peer's policy generation is newer than the sender's. */
export const policyRequestSchema = z.object({
  kind: z.literal('policy-request'),
  generation: z.number().int(),
});

/** A policy update, as a `PolicyUpdate` in JSON. */
export const policyUpdateMessageSchema = z.object({
  kind: z.literal('policy-update'),
  json: z.string(),
});

/** Any message between an entry and an agent. */
export const messageSchema = z.discriminatedUnion('kind', [
  helloSchema,
  bidSchema,
  withdrawBidsSchema,
  callSchema,
  bidRefusedSchema,
  bindSchema,
  declineCallSchema,
  bindRefusedSchema,
  answerStartSchema,
  answerChunkSchema,
  answerEndSchema,
  answerFailedSchema,
  resumeAnswerSchema,
  acknowledgeSchema,
  cancelSchema,
  leavingSchema,
  leavingAcknowledgedSchema,
  loadSchema,
  permitSchema,
  pingSchema,
  policyRequestSchema,
  policyUpdateMessageSchema,
]);

/** A frame: all messages that the sender queued in one turn of its event loop. */
export const frameSchema = z.object({
  /** Policy generation of the sender; a receiver with an older one requests an update. */
  generation: z.number().int().nonnegative(),
  messages: z.array(messageSchema),
});

/** Any message between an entry and an agent. */
export type Message = z.infer<typeof messageSchema>;
/** A frame: all messages that the sender queued in one turn of its event loop. */
export type Frame = z.infer<typeof frameSchema>;
/** Handshake message. */
export type HelloMessage = z.infer<typeof helloSchema>;
/** Offer of a waiting request. */
export type BidMessage = z.infer<typeof bidSchema>;
/** Assignment of a request to an agent. */
export type BindMessage = z.infer<typeof bindSchema>;
/** Reason why an agent rejected a bind. */
export type BindRefusalReason = z.infer<typeof bindRefusalReasonSchema>;
/** One chunk of a response. */
export type AnswerChunkMessage = z.infer<typeof answerChunkSchema>;
/** End of a complete response. */
export type AnswerEndMessage = z.infer<typeof answerEndSchema>;
/** End of an incomplete response. */
export type AnswerFailedMessage = z.infer<typeof answerFailedSchema>;
/** Current load of an agent's engine. */
export type LoadMessage = z.infer<typeof loadSchema>;
