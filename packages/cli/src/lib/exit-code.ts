/**
 * Exit codes of every command.
 */
export const exitCode = {
	ok: 0,
	/** The command did its work and the answer is bad: faults, a refusal, something not ready. */
	bad: 1,
	/** Bad flags or arguments; nothing was done. */
	usage: 2,
	/** A file or an instance could not be read, or rejected the token. */
	unreachable: 3,
} as const;
export type ExitCode = typeof exitCode[keyof typeof exitCode];

/** The codes for the help texts. */
export const exitCodeHelp = `
Exit codes:
  0  fine
  1  the answer is bad: faults, a refusal, or an instance that is not ready
  2  bad flags or arguments; nothing was done
  3  a file or an instance could not be read, or rejected the token`;
