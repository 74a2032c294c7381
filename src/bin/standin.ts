#!/usr/bin/env node
/** Runs a fake platform, engine or service as a process, and prints its port as one line of JSON. */
import type { Server } from 'node:http';
import { Command } from 'commander';
import { listen } from '../server/listen.js';
import { createEngineServer } from '../standin/engine-server.js';
import { createPlatformServer } from '../standin/platform-server.js';
import { createServiceServer } from '../standin/service-server.js';

const LOOPBACK = '127.0.0.1';

async function serve(server: Server, port: string): Promise<void> {
  const listening = await listen(server, LOOPBACK, Number(port));
  if (!listening.ok) {
    process.stderr.write(`${listening.val.message}\n`);
    process.exit(1);
  }
  process.stdout.write(`${JSON.stringify({ port: listening.val })}\n`);
  process.once('SIGTERM', () => process.exit(0));
}

const program = new Command('standin').description(
  'Runs a fake platform, engine or service on a loopback port',
);

program
  .command('platform')
  .description('fake key-value service and list of machines')
  .option('--port <port>', 'port; 0 lets the operating system choose', '0')
  .action((options: { port: string }) => serve(createPlatformServer(), options.port));

program
  .command('engine')
  .description('fake model engine')
  .option('--port <port>', 'port; 0 lets the operating system choose', '0')
  .option('--prefill <tokensPerMs>', 'prefill speed in tokens per millisecond', '20')
  .option('--step <ms>', 'duration of a decode step in milliseconds', '3')
  .option('--capacity <count>', 'maximum number of concurrent requests', '8')
  .option('--cache <tokens>', 'size of the prefix cache in prompt tokens', '20000')
  .option('--chunk <tokens>', 'tokens per event of the stream', '8')
  .option('--lag <ms>', 'delay of the load report in milliseconds', '2000')
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
  .description('fake plain service')
  .option('--port <port>', 'port; 0 lets the operating system choose', '0')
  .option('--latency <ms>', 'duration of a request in milliseconds', '20')
  .action((options: { port: string; latency: string }) =>
    serve(createServiceServer(Number(options.latency)), options.port),
  );

await program.parseAsync();
