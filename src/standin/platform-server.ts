/** Fake platform over HTTP: key-value service, live list of machines and fault injection. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { z } from 'zod';
import { SYSTEM_CLOCK } from '../clock.js';
import { machineSchema } from '../membership/machine.js';
import type { Machine } from '../membership/machine.js';
import { readText, writeJson } from './http-json.js';
import { KeyValueModel } from './key-value-model.js';

const callSchema = z.discriminatedUnion('operation', [
  z.object({ operation: z.literal('get'), key: z.string() }),
  z.object({
    operation: z.literal('compare-and-swap'),
    key: z.string(),
    expectedRevision: z.number(),
    value: z.unknown(),
  }),
  z.object({
    operation: z.literal('watch'),
    key: z.string(),
    afterRevision: z.number(),
    waitMs: z.number(),
  }),
  z.object({
    operation: z.literal('acquire-lease'),
    name: z.string(),
    holder: z.string(),
    durationMs: z.number(),
  }),
]);

const faultSchema = z.object({
  isDown: z.boolean().optional(),
  answersToLose: z.number().optional(),
});

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAVAILABLE = 503;

type KeyValueCall = z.infer<typeof callSchema>;

/** Creates the HTTP server of the fake platform. */
export function createPlatformServer(): Server {
  const model = new KeyValueModel(SYSTEM_CLOCK);
  const machines = new Map<string, Machine>();
  return createServer((request, response) => {
    void route(model, machines, request, response);
  });
}

async function route(
  model: KeyValueModel,
  machines: Map<string, Machine>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readText(request);
  const target = `${request.method} ${request.url}`;
  switch (target) {
    case 'POST /key-value':
      await handleCall(model, body, response);
      break;
    case 'GET /machines':
      writeJson(response, HTTP_OK, [...machines.values()]);
      break;
    case 'PUT /machines': {
      const machine = machineSchema.parse(JSON.parse(body));
      machines.set(machine.name, machine);
      writeJson(response, HTTP_OK, {});
      break;
    }
    case 'POST /faults':
      Object.assign(model, faultSchema.parse(JSON.parse(body)));
      writeJson(response, HTTP_OK, {});
      break;
    case 'GET /calls':
      writeJson(response, HTTP_OK, { calls: model.calls, peakPerSecond: model.peakPerSecond });
      break;
    default:
      writeJson(response, HTTP_BAD_REQUEST, { error: `unknown endpoint ${target}` });
  }
}

async function handleCall(
  model: KeyValueModel,
  body: string,
  response: ServerResponse,
): Promise<void> {
  const call = callSchema.parse(JSON.parse(body));
  const isWrite = call.operation === 'compare-and-swap' || call.operation === 'acquire-lease';
  if (!model.admit(isWrite ? 'write' : call.operation === 'watch' ? 'watch' : 'read')) {
    writeJson(response, HTTP_UNAVAILABLE, { error: 'service unavailable or rate limit exceeded' });
    return;
  }
  const result = await perform(model, call);
  if (isWrite && model.consumeLostResponse()) {
    response.destroy();
    return;
  }
  writeJson(response, HTTP_OK, result);
}

async function perform(model: KeyValueModel, call: KeyValueCall): Promise<object> {
  switch (call.operation) {
    case 'get':
      return { entry: model.get(call.key) ?? null };
    case 'compare-and-swap':
      return model.compareAndSwap(call.key, call.expectedRevision, call.value);
    case 'watch':
      return { entry: (await model.watch(call.key, call.afterRevision, call.waitMs)) ?? null };
    case 'acquire-lease':
      return { grant: model.acquireLease(call.name, call.holder, call.durationMs) ?? null };
  }
}
