import test from 'ava';
import { createProgram, findEnds, listModules } from './support/connection-end-finder.js';
import type { EndsByModule } from './support/connection-end-finder.js';

const FOLDERS = ['src', 'platform'];

/** The modules that may end a connection, a response, a server or a process, and why. */
const ALLOWED: Readonly<
  Record<string, { readonly ends: readonly string[]; readonly why: string }>
> = {
  'src/gateway/admission/caller-listener.ts': {
    ends: [
      'Server.close',
      'Server.closeAllConnections',
      'ServerResponse.destroy',
      'ServerResponse.end',
    ],
    why: 'the only writer of responses to callers; it closes its listener and what is left at a stop',
  },
  'src/gateway/admission/rejected-connections.ts': {
    ends: ['Duplex.destroy', 'Duplex.end'],
    why: 'closes connections of callers that send more than is allowed',
  },
  'src/gateway/admission/idle-connections.ts': {
    ends: ['Duplex.destroy'],
    why: 'closes expired connections of callers, after a poll',
  },
  'src/gateway/admission/client-errors.ts': {
    ends: ['Duplex.destroy'],
    why: 'closes connections of callers whose input is no request, or whose head is late',
  },
  'src/gateway/readiness-listener.ts': {
    ends: ['Server.close', 'ServerResponse.end'],
    why: 'the readiness endpoint, which callers do not use',
  },
  'src/telemetry/metrics-endpoint.ts': {
    ends: ['Server.close', 'Server.closeAllConnections', 'ServerResponse.end'],
    why: 'the metrics endpoint, which callers do not use',
  },
  'src/bin/run-process.ts': {
    ends: ['Process.exit'],
    why: 'ends a gateway after its stop, invalid settings or an exception outside any request',
  },
  'src/gateway/attempt/http-backend-sender.ts': {
    ends: ['Duplex.destroy', 'Duplex.resetAndDestroy'],
    why: 'connections to backends',
  },
  'src/gateway/attempt/keep-alive-agent.ts': {
    ends: ['Duplex.destroy'],
    why: 'idle connections to backends',
  },
  'src/gateway/crashes/port-probe.ts': {
    ends: ['Duplex.destroy'],
    why: 'connections that test whether a backend listens',
  },
  'src/http/surplus-guard-agent.ts': {
    ends: ['Duplex.destroy'],
    why: 'idle connections to backends, engines and the store that received surplus bytes',
  },
  'src/cluster/json-call.ts': {
    ends: ['Duplex.destroy'],
    why: 'connections to the store',
  },
  'src/slot-agent/slot-agent-role.ts': {
    ends: ['Server.close'],
    why: 'the listener of a slot agent, which callers do not use',
  },
  'src/server/caller-server.ts': {
    ends: ['ServerResponse.destroy'],
    why: 'an entry: a request whose input breaks off',
  },
  'src/server/caller-response-writer.ts': {
    ends: ['ServerResponse.destroy', 'ServerResponse.end'],
    why: 'an entry: the only writer of responses to its callers',
  },
  'src/server/entry-role.ts': {
    ends: ['Server.close', 'Server.closeAllConnections'],
    why: 'an entry: closes its listener at a stop',
  },
  'src/server/agent-role.ts': {
    ends: ['Server.close'],
    why: 'the listener of an agent, which callers do not use',
  },
  'src/server/frame-connection.ts': {
    ends: ['Duplex.destroy'],
    why: 'connections between entries and agents',
  },
  'src/server/daemon.ts': {
    ends: ['Server.close', 'Server.closeAllConnections'],
    why: 'the endpoint of operators, which callers do not use',
  },
  'src/server/operator-server.ts': {
    ends: ['ServerResponse.end'],
    why: 'the endpoint of operators, which callers do not use',
  },
  'src/bin/weirvaled.ts': {
    ends: ['Process.exit'],
    why: 'ends a daemon after its stop or invalid settings',
  },
  'src/bin/weirvale.ts': { ends: ['Process.exit'], why: 'the operators tool' },
  'src/bin/standin.ts': { ends: ['Process.exit'], why: 'a stand-in for other processes' },
  'src/standin/http-json.ts': { ends: ['ServerResponse.end'], why: 'a stand-in' },
  'src/standin/engine-server.ts': {
    ends: ['ServerResponse.destroy', 'ServerResponse.end'],
    why: 'a stand-in for an engine',
  },
  'src/standin/platform-server.ts': {
    ends: ['ServerResponse.destroy'],
    why: 'a stand-in for the platform',
  },
  'src/standin/service-server.ts': {
    ends: ['ServerResponse.end'],
    why: 'a stand-in for a service',
  },
};

/** Ends in modules of every kind, in each form in which a member may be read. */
const UNLISTED = `
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
export function endAll(request: IncomingMessage, response: ServerResponse, server: Server) {
  const { destroy } = request;
  response.once('close', destroy);
  response['end']();
  response.socket?.destroySoon();
  server.closeAllConnections();
  (undefined as Socket | undefined)?.resetAndDestroy();
  process.exit(0);
}
export function endOthers(wait: { end(): void }, text: string) {
  wait.end();
  return text.endsWith('end');
}
`;

function allowedEnds(): EndsByModule {
  return Object.fromEntries(Object.entries(ALLOWED).map(([module, { ends }]) => [module, ends]));
}

test('connections, responses, servers and processes are ended by listed modules alone', (t) => {
  const program = createProgram(FOLDERS.flatMap(listModules));
  t.deepEqual(findEnds(program, FOLDERS), allowedEnds());
});

test('an end in a module that is not listed is detected in any form', (t) => {
  const path = 'src/gateway/dispatch/unlisted.ts';
  const program = createProgram([], new Map([[path, UNLISTED]]));
  t.deepEqual(findEnds(program, FOLDERS), {
    [path]: [
      'Duplex.destroySoon',
      'Duplex.resetAndDestroy',
      'IncomingMessage.destroy',
      'Process.exit',
      'Server.closeAllConnections',
      'ServerResponse.end',
    ],
  });
});
