import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { PlatformStore } from '../platform/store-client.js';
import { positionAt } from './support/store-positions.js';

for (const [name, body] of [
  ['nothing', ''],
  ['a list', '[]'],
  ['null', 'null'],
  ['text in place of the revision', '{"at":"7","items":[]}'],
  ['an item without a key', '{"at":7,"items":[{"revision":7}],"events":[{"revision":7}]}'],
  ['items that are none', '{"at":7,"items":5,"events":5}'],
] as const) {
  test(`a store that responds with ${name} makes its calls fail in a typed way`, async (t) => {
    const server = createServer((_request, response) => response.end(body));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    const store = new PlatformStore(`127.0.0.1:${port}`, 300);
    t.true((await store.list()).err);
    t.true((await store.watch(positionAt(1), 1)).err);
    t.true((await store.put('weirvale/x', 'text', positionAt(1))).err);
  });
}

test('a key with half a character does not end a listing', async (t) => {
  let pages = 0;
  const server = createServer((_request, response) => {
    pages += 1;
    const items = pages === 1 ? '[{"key":"servers/\\ud800","revision":1,"value":""}]' : '[]';
    response.end(`{"at":1,"items":${items},"more":${pages === 1}}`);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const store = new PlatformStore(`127.0.0.1:${port}`, 300);
  t.is((await store.list()).unwrap().records.length, 1);
  t.is(pages, 2);
});
