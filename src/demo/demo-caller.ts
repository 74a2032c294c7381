/** Sends one request as a caller does, and verifies the response. */
import { Agent, request } from 'undici';
import { responseText, serviceResponse } from '../standin/response-text.js';
import { CALLER_HEADERS, CHAT_PATH } from '../server/caller-request.js';
import type { WorkloadClass } from './demo-files.js';

/** Result of one request. */
export interface CallerOutcome {
  readonly className: string;
  readonly id: string;
  readonly kind: 'answered' | 'refused' | 'connection-lost' | 'wrong-answer';
  /** Error type of a refusal, and its `ran` field on whether the request ran; empty otherwise. */
  readonly reason: string;
  readonly ran: string;
  readonly engine: string;
  readonly isInTime: boolean;
  readonly durationMs: number;
}

/** One request to be sent. */
export interface PlannedRequest {
  readonly workload: WorkloadClass;
  readonly input: string;
  readonly sequence: number;
}

interface RefusalBody {
  readonly error?: { type: string; ran: string };
}

const HTTP_OK = 200;
const dispatcher = new Agent({ connections: 512, pipelining: 1 });

/** Sends `planned` to the entry at `baseUrl` and compares the response with the expected one. */
export async function callEntry(baseUrl: string, planned: PlannedRequest): Promise<CallerOutcome> {
  const { workload } = planned;
  const startedAtMs = performance.now();
  const isChat = workload.path === undefined;
  const isStreamed = isChat && planned.sequence % 2 === 0;
  const prompt = `${planned.input}\n#${planned.sequence}`;
  const body = isChat ? chatBody(workload, prompt, isStreamed) : prompt;
  const path = isChat ? CHAT_PATH : `/services/${workload.model}${workload.path}`;
  const outcome = {
    className: workload.name,
    id: '',
    reason: '',
    ran: '',
    engine: '',
    isInTime: false,
    durationMs: 0,
  };
  try {
    const response = await request(baseUrl + path, {
      dispatcher,
      method: 'POST',
      headers: requestHeaders(planned),
      body,
    });
    const text = await response.body.text();
    const durationMs = performance.now() - startedAtMs;
    const id = String(response.headers['x-request-id']);
    if (response.statusCode !== HTTP_OK) {
      const refusal = (JSON.parse(text) as RefusalBody).error;
      const reason = refusal?.type ?? `http-${response.statusCode}`;
      return { ...outcome, id, kind: 'refused', reason, ran: refusal?.ran ?? '', durationMs };
    }
    const expected = isChat
      ? responseText(prompt, workload.maxTokens)
      : serviceResponse(workload.path ?? '', prompt);
    const actual = isStreamed ? streamContent(text) : isChat ? jsonContent(text) : text;
    const trailers = response.trailers as Record<string, string>;
    const engine = String(response.headers['x-weirvale-engine'] ?? trailers['x-weirvale-engine']);
    const isCorrect = actual === expected && (!isStreamed || text.endsWith('data: [DONE]\n\n'));
    const isInTime = durationMs <= workload.deadlineMs;
    const kind = isCorrect ? 'answered' : 'wrong-answer';
    return { ...outcome, id, kind, engine, isInTime, durationMs };
  } catch (cause) {
    const durationMs = performance.now() - startedAtMs;
    return { ...outcome, kind: 'connection-lost', reason: String(cause), durationMs };
  }
}

function requestHeaders({ workload, sequence }: PlannedRequest): Record<string, string> {
  return {
    authorization: `Bearer ${workload.key}`,
    'content-type': 'application/json',
    [CALLER_HEADERS.data]: workload.data,
    [CALLER_HEADERS.deadlineMs]: `${workload.deadlineMs}`,
    ...(workload.isRepeatable
      ? {}
      : {
          [CALLER_HEADERS.repeatable]: 'false',
          [CALLER_HEADERS.idempotencyKey]: `${workload.name}-${sequence}`,
        }),
  };
}

function chatBody(workload: WorkloadClass, prompt: string, isStreamed: boolean): string {
  return JSON.stringify({
    model: workload.model,
    messages: [{ role: 'user', content: prompt }],
    max_tokens: workload.maxTokens,
    stream: isStreamed,
  });
}

function streamContent(text: string): string {
  return text
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => {
      const parsed = JSON.parse(event.slice('data: '.length)) as {
        choices?: Array<{ delta?: { content?: string } }>;
      };
      return parsed.choices?.[0]?.delta?.content ?? '';
    })
    .join('');
}

function jsonContent(text: string): string {
  const parsed = JSON.parse(text) as { choices: Array<{ message: { content: string } }> };
  return parsed.choices[0]?.message.content ?? '';
}
