#!/usr/bin/env node
/** Daemon `weirvaled --config FILE.ini`; runs as an entry or an agent, as the settings select. */
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { AgentRole } from '../server/agent-role.js';
import { createDaemonContext, Daemon } from '../server/daemon.js';
import { EntryRole } from '../server/entry-role.js';
import { parseSettings } from '../server/settings.js';

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;

async function main(): Promise<void> {
  const program = new Command('weirvaled')
    .description('Runs a weirvale entry or agent, as the settings select')
    .requiredOption('--config <file>', 'settings file in INI format')
    .addHelpText('after', '\nExit codes: 0 graceful shutdown, 1 cannot start, 2 invalid settings');
  program.parse();
  const { config } = program.opts<{ config: string }>();
  const settings = parseSettings(readFileSync(config, 'utf8'));
  if (!settings.ok) {
    process.stderr.write(`${config}:\n${settings.val.message}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  const context = createDaemonContext(settings.val);
  const isEntry = settings.val.process.role === 'entry';
  const daemon = new Daemon(context, isEntry ? new EntryRole(context) : new AgentRole(context));
  const ports = await daemon.start();
  if (!ports.ok) {
    context.telemetry.log.error(
      { code: ports.val.code, detail: ports.val.message },
      'cannot start',
    );
    process.exit(EXIT_FAILED);
  }
  const shutDown = () => daemon.drain(() => process.exit(0));
  process.once('SIGTERM', shutDown);
  process.once('SIGINT', shutDown);
}

await main();
