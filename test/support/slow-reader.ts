import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

const MS_PER_S = 1_000;
const HEAD_END = '\r\n\r\n';

/** A response as it was received. */
export interface ReceivedResponse {
  readonly status: number;
  readonly isComplete: boolean;
}

/** How a slow reader reads. */
export interface ReadPace {
  /** Delay between the request and the first read, in milliseconds. */
  readonly delayMs: number;
  readonly bytesPerS: number;
}

/** Sends `text`, reads slowly until the connection ends and returns the responses. */
export async function readSlowly(
  address: { readonly host: string; readonly port: number },
  text: string,
  { delayMs, bytesPerS }: ReadPace,
): Promise<readonly ReceivedResponse[]> {
  const socket = connect(address.port, address.host);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  socket.write(text);
  pauseFor(socket, delayMs);
  const pieces: Buffer[] = [];
  socket.on('data', (bytes: Buffer) => {
    pieces.push(bytes);
    pauseFor(socket, (bytes.length / bytesPerS) * MS_PER_S);
  });
  await once(socket, 'close');
  return parseResponses(Buffer.concat(pieces).toString('latin1'));
}

function pauseFor(socket: Socket, delayMs: number): void {
  socket.pause();
  setTimeout(() => socket.resume(), delayMs);
}

function parseResponses(text: string): ReceivedResponse[] {
  const responses: ReceivedResponse[] = [];
  let start = 0;
  while (start < text.length) {
    const headEnd = text.indexOf(HEAD_END, start);
    const head = headEnd < 0 ? text.slice(start) : text.slice(start, headEnd);
    const end = headEnd < 0 ? Infinity : bodyEnd(text, head, headEnd + HEAD_END.length);
    responses.push({ status: Number(head.split(' ')[1]), isComplete: end <= text.length });
    start = end;
  }
  return responses;
}

/** Returns where the body that begins at `start` ends; beyond the text if it is incomplete. */
function bodyEnd(text: string, head: string, start: number): number {
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  if (length !== undefined) {
    return start + Number(length);
  }
  let position = start;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position);
    if (lineEnd < 0) {
      return Infinity;
    }
    const size = Number.parseInt(text.slice(position, lineEnd), 16);
    position = lineEnd + 2 + size + 2;
    if (size === 0) {
      return position;
    }
  }
}
