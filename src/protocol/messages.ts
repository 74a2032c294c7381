/**
 * The messages between entries and agents.
 *
 * Times on the wire are relative (`…InMs`), because clocks of two machines differ.
 */
import { z } from 'zod';

/** Version of the protocol; a peer of another version is refused at hello. */
export const PROTOCOL_VERSION = 1;

const labels = z.record(z.string(), z.string());
const requestId = z.string().max(200);
const chunkData = z.union([
  z.string(),
  z.custom<Uint8Array>((value) => value instanceof Uint8Array),
]);

/** First message of each side of a connection. */
export const helloSchema = z.object({
  kind: z.literal('hello'),
  version: z.number().int(),
  role: z.enum(['entry', 'agent']),
  /** Entry name, or name of the engine that the agent stands beside. */
  name: z.string(),
  /** New at every start of the process. */
  incarnation: z.string(),
  zone: z.string(),
  /** Rises with each connection that this incarnation opens to the same peer. */
  connectionNumber: z.number().int(),
});

/** An entry offers a waiting request to an agent. */
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
  /** True when the request would otherwise soon be shed: lower tiers must make room. */
  isUrgent: z.boolean(),
});

/** Bids that no longer stand. */
export const withdrawBidsSchema = z.object({
  kind: z.literal('withdraw-bids'),
  ids: z.array(requestId),
});

/** The agent can start this request now. */
export const callSchema = z.object({ kind: z.literal('call'), id: requestId });

/** The agent will not call this bid. */
export const bidRefusedSchema = z.object({
  kind: z.literal('bid-refused'),
  id: requestId,
  reason: z.enum(['leaving', 'not-permitted', 'full']),
});

/** The entry gives the request to the caller of the bid, once and for all. */
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
  /** True when the bind follows a permit and not a call. */
  isByPermit: z.boolean(),
  /** Policy generation under which the entry found the agent's engine permitted. */
  generation: z.number().int(),
});

/** The entry's answer to a call for a request that is no longer waiting. */
export const declineCallSchema = z.object({ kind: z.literal('decline-call'), id: requestId });

/** Why an agent did not start a bound request; each one certifies that it will never start it. */
export const bindRefusalReasonSchema = z.enum([
  'leaving',
  'not-permitted',
  'full',
  'never-received',
  'policy-unknown',
  'engine-unreachable',
  'was-paused',
]);

/** The agent did not start the request and never will. */
export const bindRefusedSchema = z.object({
  kind: z.literal('bind-refused'),
  id: requestId,
  reason: bindRefusalReasonSchema,
});

/** The back end's answer begins. */
export const answerStartSchema = z.object({
  kind: z.literal('answer-start'),
  id: requestId,
  status: z.number().int(),
  contentType: z.string(),
});

/** One part of an answer, numbered from 0. */
export const answerChunkSchema = z.object({
  kind: z.literal('answer-chunk'),
  id: requestId,
  index: z.number().int(),
  data: chunkData,
});

/** The answer is complete and has `chunkCount` chunks. */
export const answerEndSchema = z.object({
  kind: z.literal('answer-end'),
  id: requestId,
  chunkCount: z.number().int(),
  promptTokens: z.number(),
  cachedPromptTokens: z.number(),
  outputTokens: z.number(),
  /** From start on the engine to the first chunk. */
  prefillMs: z.number(),
  /** From the first chunk to the last. */
  decodeMs: z.number(),
});

/** The back end began the request, or may have, and there will be no whole answer. */
export const answerFailedSchema = z.object({
  kind: z.literal('answer-failed'),
  id: requestId,
  reason: z.enum(['engine-failed', 'engine-lost', 'preempted']),
  detail: z.string(),
});

/** After a reconnect: send the answer again from `fromChunk`. */
export const resumeAnswerSchema = z.object({
  kind: z.literal('resume-answer'),
  id: requestId,
  fromChunk: z.number().int(),
});

/** The entry has the whole answer; the agent may forget it. */
export const acknowledgeSchema = z.object({ kind: z.literal('acknowledge'), id: requestId });

/** The caller is gone: stop the request. */
export const cancelSchema = z.object({ kind: z.literal('cancel'), id: requestId });

/** The agent takes no new work. */
export const leavingSchema = z.object({ kind: z.literal('leaving') });

/** The entry has heard that the agent leaves: no bind of its follows this message. */
export const leavingAcknowledgedSchema = z.object({ kind: z.literal('leaving-acknowledged') });

/** What the agent's engine does now; a hint for ranking and for early refusals. */
export const loadSchema = z.object({
  kind: z.literal('load'),
  running: z.number().int(),
  capacity: z.number().int(),
  waitingBids: z.number().int(),
  /** Largest tier number that runs now; 0 when nothing runs. */
  lowestTierServed: z.number().int(),
});

/** The entry may bind one request without a bid, within `validForMs`. */
export const permitSchema = z.object({ kind: z.literal('permit'), validForMs: z.number() });

/** Keeps an idle connection alive. */
export const pingSchema = z.object({ kind: z.literal('ping') });

/** The sender is behind the generation that the peer showed. */
export const policyRequestSchema = z.object({
  kind: z.literal('policy-request'),
  generation: z.number().int(),
});

/** A policy update, as JSON text of `PolicyUpdate`. */
export const policyUpdateMessageSchema = z.object({
  kind: z.literal('policy-update'),
  json: z.string(),
});

/** Any message between processes. */
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

/** What one frame carries. */
export const frameSchema = z.object({
  /** Policy generation of the sender; a receiver that is behind asks for what it misses. */
  generation: z.number().int().nonnegative(),
  messages: z.array(messageSchema),
});

/** Any message between processes. */
export type Message = z.infer<typeof messageSchema>;
/** What one frame carries. */
export type Frame = z.infer<typeof frameSchema>;
/** First message of each side. */
export type HelloMessage = z.infer<typeof helloSchema>;
/** An offer of a waiting request. */
export type BidMessage = z.infer<typeof bidSchema>;
/** A request given to an agent. */
export type BindMessage = z.infer<typeof bindSchema>;
/** Why an agent did not start a bound request. */
export type BindRefusalReason = z.infer<typeof bindRefusalReasonSchema>;
/** One part of an answer. */
export type AnswerChunkMessage = z.infer<typeof answerChunkSchema>;
/** The end of a whole answer. */
export type AnswerEndMessage = z.infer<typeof answerEndSchema>;
/** The end of an answer that is not whole. */
export type AnswerFailedMessage = z.infer<typeof answerFailedSchema>;
/** What an agent's engine does now. */
export type LoadMessage = z.infer<typeof loadSchema>;
