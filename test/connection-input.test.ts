/** What of the input of a connection reaches the HTTP parser, and when. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { ConnectionInput } from '../src/http/connection-input.js';
import { InputTurns } from '../src/http/input-turns.js';
import { MessageScanner } from '../src/http/message-scanner.js';

const MAX_OPEN = 3;
const MAX_HEADER_BYTES = 200;
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

/** A server that keeps every response open, and one connection to it. */
async function startServer(t: ExecutionContext, maxBytesAhead = 100_000) {
  const responses: ServerResponse[] = [];
  const bodies: string[] = [];
  const inputs = new Map<Socket, ConnectionInput>();
  const turns = new InputTurns(SYSTEM_CLOCK);
  let closedAhead = 0;
  let tooLongHeads = 0;
  const server = createServer((request, response) => {
    inputs.get(request.socket)!.beginRequest(request, response);
    responses.push(response);
    const chunks: Buffer[] = [];
    request.on('data', (bytes: Buffer) => chunks.push(bytes));
    request.on('end', () => bodies.push(Buffer.concat(chunks).toString()));
  });
  server.on('connection', (socket: Socket) => {
    const limits = {
      maxOpenRequests: MAX_OPEN,
      maxHeaderBytes: () => MAX_HEADER_BYTES,
      maxBytesAhead: () => maxBytesAhead,
    };
    const onHeadTooLong = () => {
      tooLongHeads += 1;
    };
    const onTooFarAhead = () => {
      closedAhead += 1;
      socket.destroy();
    };
    const handlers = {
      onTooFarAhead,
      onHeadTooLong,
      onDiscarded: () => undefined,
      onReceived: () => undefined,
      onWaitingChange: () => undefined,
    };
    inputs.set(socket, new ConnectionInput(socket, turns, limits, handlers));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  client.on('error', () => undefined);
  let received = '';
  client.on('data', (bytes: Buffer) => (received += bytes.toString()));
  await once(client, 'connect');
  t.teardown(() => {
    client.destroy();
    server.closeAllConnections();
    server.close();
  });
  return {
    client,
    responses,
    bodies,
    closedAhead: () => closedAhead,
    tooLongHeads: () => tooLongHeads,
    received: () => received,
    input: () => [...inputs.values()][0],
  };
}

async function until(isDone: () => boolean): Promise<boolean> {
  const endAtMs = Date.now() + 5_000;
  while (!isDone() && Date.now() < endAtMs) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  return isDone();
}

test('requests past those that may be open stay unparsed until one has ended', async (t) => {
  const { client, responses, input } = await startServer(t);
  client.write(REQUEST.repeat(10));
  t.true(await until(() => responses.length === MAX_OPEN));
  t.is(input()!.waitingBytes, 7 * REQUEST.length);
  responses[0]!.end();
  t.true(await until(() => responses.length === MAX_OPEN + 1));
  t.is(input()!.waitingBytes, 6 * REQUEST.length);
});

test('every request that was sent ahead is parsed in the end, in order', async (t) => {
  const { client, responses } = await startServer(t);
  client.write(
    Array.from({ length: 50 }, (_, index) => REQUEST.replace('/ ', `/${index} `)).join(''),
  );
  for (let index = 0; index < 50; index += 1) {
    t.true(await until(() => responses.length > index));
    t.is(responses[index]!.req.url, `/${index}`);
    responses[index]!.end();
  }
});

test('the disconnect of a caller is noticed while its requests wait', async (t) => {
  const { client, responses } = await startServer(t);
  client.write(REQUEST.repeat(10));
  t.true(await until(() => responses.length === MAX_OPEN));
  client.destroy();
  t.true(await until(() => responses[0]!.destroyed || responses[0]!.socket?.destroyed === true));
});

test('a caller that sends more ahead than allowed is reported', async (t) => {
  const { client, closedAhead } = await startServer(t, 1_000);
  client.write(REQUEST.repeat(100));
  t.true(await until(() => closedAhead() === 1));
});

test('bodies of any framing arrive whole, whatever the pieces in which they are received', async (t) => {
  const body = fc.string({ unit: fc.constantFrom('a', '\r', '\n', '0', ';'), maxLength: 60 });
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.record({ body, isChunked: fc.boolean() }), { minLength: 1, maxLength: MAX_OPEN }),
      fc.array(fc.nat({ max: 40 }), { maxLength: 12 }),
      async (requests, cuts) => {
        const { client, bodies, responses } = await startServer(t);
        const text = requests.map((request) => format(request)).join('');
        let from = 0;
        for (const length of cuts) {
          client.write(text.slice(from, from + length));
          from += length;
          await new Promise((resolve) => setImmediate(resolve));
        }
        client.write(text.slice(from));
        const isWhole = await until(() => bodies.length === requests.length);
        client.destroy();
        return (
          isWhole &&
          responses.length === requests.length &&
          bodies.every((received, index) => received === requests[index]!.body)
        );
      },
    ),
    { numRuns: 60, seed: 93 },
  );
  t.pass();
});

function format({ body, isChunked }: { body: string; isChunked: boolean }): string {
  const head = 'POST / HTTP/1.1\r\nHost: h\r\n';
  if (!isChunked) {
    return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  }
  const chunks = [...body].map((byte) => `1\r\n${byte}\r\n`).join('');
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

test('the scanner finds the end of a head wherever it is cut', (t) => {
  const head = Buffer.from('\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n');
  for (let cut = 0; cut < head.length; cut += 1) {
    const scanner = new MessageScanner();
    t.is(scanner.findEnd(head.subarray(0, cut)), undefined);
    t.is(scanner.findEnd(head.subarray(cut)), head.length - cut);
  }
});

test('header lines count with all their white space, however they are cut', async (t) => {
  for (const [bytes, expected] of [
    [MAX_HEADER_BYTES, 0],
    [MAX_HEADER_BYTES + 1, 1],
  ] as const) {
    const { client, responses, tooLongHeads } = await startServer(t);
    const lines = `Host: h\r\na:${' '.repeat(bytes - 13)}\r\n`;
    t.is(lines.length, bytes);
    for (const byte of `GET /${'p'.repeat(500)} HTTP/1.1\r\n${lines}\r\n`) {
      client.write(byte);
    }
    t.true(await until(() => responses.length + tooLongHeads() > 0));
    t.is(tooLongHeads(), expected);
  }
});

test('blank lines before a request count as a part of its head', async (t) => {
  const { client, tooLongHeads } = await startServer(t);
  client.write('\r\n'.repeat(70_000));
  t.true(await until(() => tooLongHeads() === 1));
});
