/** Single requests at and beyond the limits of the configuration, while nothing else runs. */
import { connect } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { LIMITS, ORDINARY_PATH, startCrowdedGateway } from '../support/crowded-gateway.js';
import type { CrowdedGateway } from '../support/crowded-gateway.js';
import { RawCaller } from '../support/raw-caller.js';

const HOST = '127.0.3.62';
/** Time after which a request counts as unanswered. */
const ANSWER_WITHIN_MS = 60_000;
const POLL_MS = 20;
const KEY_LINE = 'Authorization: Bearer key\r\n';

async function connectTo({ target }: CrowdedGateway): Promise<RawCaller> {
  return RawCaller.connect(target.port, target.host);
}

/** Waits until `isDone` returns true, or the time for an answer is over. */
async function waitFor(isDone: () => boolean): Promise<boolean> {
  const endAtMs = Date.now() + ANSWER_WITHIN_MS;
  while (!isDone() && Date.now() < endAtMs) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return isDone();
}

async function statusOf(caller: RawCaller, bytes: Buffer | string): Promise<string | undefined> {
  caller.socket.write(bytes);
  await waitFor(() => caller.statuses.length > 0 || caller.isClosed);
  return caller.statuses[0];
}

/** Returns a head of exactly `bytes` bytes, its key behind as many lines as fit. */
function headOf(bytes: number, line: string): { readonly text: string; readonly lines: number } {
  const start = `GET ${ORDINARY_PATH} HTTP/1.1\r\nHost: h\r\n`;
  const end = `${KEY_LINE}\r\n`;
  const room = bytes - start.length - end.length;
  const lines = Math.floor(room / line.length);
  // The host absorbs the rest, as white space before its value.
  const padding = ' '.repeat(room - lines * line.length);
  const text = `${start.replace('Host: ', `Host: ${padding}`)}${line.repeat(lines)}${end}`;
  return { text, lines };
}

async function checkAllLinesArrive(t: ExecutionContext, line: string): Promise<void> {
  const gateway = await startCrowdedGateway(t, HOST);
  const { text, lines } = headOf(LIMITS.maxHeaderBytes, line);
  t.is(text.length, LIMITS.maxHeaderBytes);
  t.is(await statusOf(await connectTo(gateway), text), '200');
  const { rawHeaders } = gateway.backend.received.at(-1)!;
  const [name] = line.split(':');
  t.is(rawHeaders.filter((text, index) => index % 2 === 0 && text === name).length, lines);
}

test.serial('a legal head of the shortest lines is served, and every line is forwarded', (t) =>
  checkAllLinesArrive(t, 'a:\r\n'),
);

test.serial('a legal head of thousands of lines is served, and every line is forwarded', (t) =>
  checkAllLinesArrive(t, 'n: v\r\n'),
);

test.serial('header lines are forwarded in the order received', async (t) => {
  const gateway = await startCrowdedGateway(t, HOST);
  const names = Array.from({ length: 1_500 }, (_, index) => `n${index}`);
  const lines = names.map((name) => `${name}:\r\n`).join('');
  const head = `GET ${ORDINARY_PATH} HTTP/1.1\r\nHost: h\r\n${lines}${KEY_LINE}\r\n`;
  t.is(await statusOf(await connectTo(gateway), head), '200');
  const { rawHeaders } = gateway.backend.received.at(-1)!;
  t.deepEqual(
    rawHeaders.filter((text) => /^n\d+$/.test(text)),
    names,
  );
});

test.serial('a head of twice the legal length gets 431, whatever its lines are', async (t) => {
  const gateway = await startCrowdedGateway(t, HOST);
  const statuses: Array<string | undefined> = [];
  for (const line of ['a:\r\n', 'name: value\r\n', `a: ${' '.repeat(1_000)}\r\n`]) {
    const { text } = headOf(2 * LIMITS.maxHeaderBytes, line);
    statuses.push(await statusOf(await connectTo(gateway), text));
  }
  t.deepEqual(statuses, ['431', '431', '431']);
});

test.serial('a body of legal length in chunks of one byte is served', async (t) => {
  const gateway = await startCrowdedGateway(t, HOST);
  const start = `POST ${ORDINARY_PATH} HTTP/1.1\r\nHost: h\r\n${KEY_LINE}`;
  const body = '1\r\nx\r\n'.repeat(LIMITS.maxBodyBytes);
  const text = `${start}Transfer-Encoding: chunked\r\n\r\n${body}0\r\n\r\n`;
  t.is(await statusOf(await connectTo(gateway), text), '200');
  t.is(gateway.backend.received.at(-1)!.body.length, LIMITS.maxBodyBytes);
});

test.serial('a body of the full length is served', async (t) => {
  const gateway = await startCrowdedGateway(t, HOST);
  const { maxBodyBytes } = LIMITS;
  const head = `POST ${ORDINARY_PATH} HTTP/1.1\r\nHost: h\r\n${KEY_LINE}Content-Length: ${maxBodyBytes}\r\n\r\n`;
  t.is(await statusOf(await connectTo(gateway), head + 'x'.repeat(maxBodyBytes)), '200');
});

test.serial('a body that is announced as too long gets 413 before it is sent', async (t) => {
  const gateway = await startCrowdedGateway(t, HOST);
  const caller = await connectTo(gateway);
  const head = `POST ${ORDINARY_PATH} HTTP/1.1\r\nHost: h\r\n${KEY_LINE}Content-Length: ${LIMITS.maxBodyBytes + 1}\r\n\r\n`;
  t.is(await statusOf(caller, head), '413');
  t.true(await waitFor(() => caller.isClosed));
});

test.serial('a caller that sends a body that is too long to its end reads the 413', async (t) => {
  const gateway = await startCrowdedGateway(t, HOST);
  const { target } = gateway;
  const length = 4 * LIMITS.maxBodyBytes;
  const socket = connect({ ...target });
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
  socket.write(
    `POST ${ORDINARY_PATH} HTTP/1.1\r\nHost: h\r\n${KEY_LINE}Content-Length: ${length}\r\n\r\n`,
  );
  socket.write(Buffer.alloc(length, 'x'));
  await waitFor(() => received !== '' || socket.destroyed);
  t.regex(received, /^HTTP\/1\.1 413/);
  socket.destroy();
});

test.serial('hundreds of requests sent ahead on one connection are all served', async (t) => {
  const gateway = await startCrowdedGateway(t, HOST);
  const caller = await connectTo(gateway);
  const requests = Array.from(
    { length: 300 },
    (_, index) =>
      `GET ${ORDINARY_PATH} HTTP/1.1\r\nHost: h\r\n${KEY_LINE}X-Weirvale-Attempt-Id: ${index}\r\n\r\n`,
  );
  caller.socket.write(requests.join(''));
  t.true(await waitFor(() => caller.statuses.length === requests.length || caller.isClosed));
  t.deepEqual(
    caller.statuses,
    requests.map(() => '200'),
  );
  const ids = [...caller.received.matchAll(/x-weirvale-attempt-id: (\d+)/gi)].map(([, id]) => id);
  t.deepEqual(
    ids,
    requests.map((_, index) => `${index}`),
  );
});
