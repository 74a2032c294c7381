#!/usr/bin/env node
/** Runs one stand-in as a process of its own, and prints its port as one line of JSON. */
import type { Server } from 'node:http';
import { Command } from 'commander';
import { listen } from '../server/listen.js';
import { createEngineServer } from '../standin/engine-server.js';
import { createPlatformServer } from '../standin/platform-server.js';
import { createServiceServer } from '../standin/service-server.js';

const LOOPBACK = '127.0.0.1';

async function serve(server: Server, port: string): Promise<void> {
  const bound = await listen(server, LOOPBACK, Number(port));
  if (!bound.ok) {
    process.stderr.write(`${bound.val.message}\n`);
    process.exit(1);
  }
  process.stdout.write(`${JSON.stringify({ port: bound.val })}\n`);
  process.once('SIGTERM', () => process.exit(0));
}

const program = new Command('standin').description('Runs one stand-in on a loopback port');

program
  .command('platform')
  .description('key-value service and list of machines')
  .option('--port <port>', 'port, 0 lets the system choose', '0')
  .action((options: { port: string }) => serve(createPlatformServer(), options.port));

program
  .command('engine')
  .description('model engine')
  .option('--port <port>', 'port, 0 lets the system choose', '0')
  .option('--prefill <tokensPerMs>', 'prefill speed', '20')
  .option('--step <ms>', 'time of one decode step', '3')
  .option('--capacity <count>', 'requests that run at once', '8')
  .option('--cache <tokens>', 'prompt tokens that the prefix cache holds', '20000')
  .option('--chunk <tokens>', 'tokens that one event of the stream carries', '8')
  .option('--lag <ms>', 'lag of the load report', '2000')
  .action((options: Record<string, string>) =>
    serve(
      createEngineServer({
        prefillTokensPerMs: Number(options['prefill']),
        stepMs: Number(options['step']),
        capacity: Number(options['capacity']),
        prefixCacheTokens: Number(options['cache']),
        loadLagMs: Number(options['lag']),
        tokensPerChunk: Number(options['chunk']),
      }),
      options['port'] ?? '0',
    ),
  );

program
  .command('service')
  .description('plain service')
  .option('--port <port>', 'port, 0 lets the system choose', '0')
  .option('--latency <ms>', 'time of one call', '20')
  .action((options: { port: string; latency: string }) =>
    serve(createServiceServer(Number(options.latency)), options.port),
  );

await program.parseAsync();
