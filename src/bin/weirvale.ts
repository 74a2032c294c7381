#!/usr/bin/env node
/** Command-line tool: prints expected failures as one message and sets the exit code. */
import { CommandError } from '../cli/context.js';
import { EXIT } from '../cli/exit-codes.js';
import { createProgram } from '../cli/program.js';

try {
  const program = createProgram();
  program.exitOverride((commanderError) => {
    process.exit(commanderError.exitCode === 0 ? EXIT.ok : EXIT.badInput);
  });
  await program.parseAsync();
} catch (cause) {
  if (!(cause instanceof CommandError)) {
    throw cause;
  }
  process.stderr.write(`${cause.message}\n`);
  process.exitCode = cause.exitCode;
}
