/** Exit codes of the command-line tool, and their help text. */

/** Exit codes; `EXIT_CODE_HELP` describes each of them. */
export const EXIT = {
  ok: 0,
  failed: 1,
  badInput: 2,
  conflict: 3,
  platformUnavailable: 4,
  differs: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** Section on the exit codes in the tool's help. */
export const EXIT_CODE_HELP = `
Exit codes:
  0  success
  1  failure
  2  invalid input: arguments, a settings file or a policy
  3  conflict: the same policy entry was changed concurrently
  4  the platform's key-value service is unavailable, or the result of a write is unknown
  5  policy diff: the two policies differ`;
