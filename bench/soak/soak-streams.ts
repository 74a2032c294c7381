/** Checks that callers hold whole streams of one software version, over all of their requests. */
import { STREAM_EVENTS } from './soak-backend.js';
import type { ObservedRequest } from './soak-run.js';

/** The stream that a request resumes. */
export interface ResumedStream {
  /** Id of the request that received the first event. */
  readonly firstId: string;
  /** Number of the last event that the caller has received. */
  readonly afterEvent: number;
}

interface StreamEvent {
  readonly number: number;
  readonly stream: string;
  readonly version: string;
}

/** Whether requests of a route receive streams. */
export function isStreamKind(kind: string): boolean {
  return kind === 'stream' || kind === 'long';
}

/** Returns the complete events of a response body. */
export function parseEvents(body: string): StreamEvent[] {
  return [...body.matchAll(/id: (\d+)\ndata: (\S+) (\S+)\n\n/g)].map(
    ([, number, stream, version]) => ({
      number: Number(number),
      stream: stream!,
      version: version!,
    }),
  );
}

/** Returns what a caller that received `sent` names to resume its stream; undefined if it cannot. */
export function resumptionOf(sent: ObservedRequest): ResumedStream | undefined {
  const last = parseEvents(sent.body).at(-1);
  const isBroken = sent.status !== 200 && isStreamKind(sent.kind);
  const firstId = sent.resumes?.firstId ?? sent.id;
  const afterEvent = last?.number ?? sent.resumes?.afterEvent;
  return isBroken && afterEvent !== undefined ? { firstId, afterEvent } : undefined;
}

/** Reports streams with events of several versions or of others, with gaps, or ended too early. */
export function findBrokenStreams(observed: readonly ObservedRequest[]): string[] {
  const byStream = new Map<string, ObservedRequest[]>();
  for (const sent of observed.filter(({ kind }) => isStreamKind(kind))) {
    const firstId = sent.resumes?.firstId ?? sent.id;
    byStream.set(firstId, [...(byStream.get(firstId) ?? []), sent]);
  }
  return [...byStream].flatMap(([id, requests]) => checkStream(id, requests));
}

function checkStream(id: string, requests: readonly ObservedRequest[]): string[] {
  const events = requests.flatMap(({ body }) => parseEvents(body));
  const violations: string[] = [];
  const versions = new Set(events.map(({ version }) => version));
  if (versions.size > 1) {
    const gateways = requests.map(({ gateway, status }) => `${gateway}:${status}`).join(', ');
    violations.push(`${id} holds events of versions ${[...versions].join(' and ')} (${gateways})`);
  }
  if (events.some(({ number }, index) => number !== index + 1)) {
    violations.push(`${id} holds events ${events.map(({ number }) => number).join()}`);
  }
  if (events.some(({ stream }) => stream !== id)) {
    violations.push(`${id} received a body that is not its own or not complete`);
  }
  const isEnded = requests.some(({ status }) => status === 200);
  if (isEnded && events.length !== STREAM_EVENTS) {
    violations.push(`${id} ended after ${events.length} events`);
  }
  return violations;
}
