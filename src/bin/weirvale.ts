#!/usr/bin/env node
/** The command-line tool. */
import { CommandFailure } from '../cli/context.js';
import { EXIT } from '../cli/exit-codes.js';
import { createProgram } from '../cli/program.js';

try {
  const program = createProgram();
  program.exitOverride((ending) => {
    process.exit(ending.exitCode === 0 ? EXIT.ok : EXIT.badInput);
  });
  await program.parseAsync();
} catch (cause) {
  if (!(cause instanceof CommandFailure)) {
    throw cause;
  }
  process.stderr.write(`${cause.message}\n`);
  process.exitCode = cause.exitCode;
}
