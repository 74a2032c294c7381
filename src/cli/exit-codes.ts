/** Exit codes of the command-line tool. */

/** Exit codes of the command-line tool; documented in the help of every command. */
export const EXIT = {
  ok: 0,
  failed: 1,
  badInput: 2,
  conflict: 3,
  platformUnavailable: 4,
  differs: 5,
} as const;

/** Any exit code. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** The exit codes as text for the help. */
export const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  failed
  2  bad input: arguments, a settings file or a policy
  3  somebody else changed the same entry first
  4  the platform's key-value service gave no certain answer
  5  policy diff: the two policies differ`;
