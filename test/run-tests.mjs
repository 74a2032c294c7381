/** Runs every test: those with crowds of clients alone, after the others. */
import { spawnSync } from 'node:child_process';

const RUNS = [[], ['--config', 'ava.clients.config.js']];

const statuses = RUNS.map(
  (runArguments) => spawnSync('npx', ['ava', ...runArguments], { stdio: 'inherit' }).status ?? 1,
);
process.exit(Math.max(...statuses));
