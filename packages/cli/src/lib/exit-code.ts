/**
 * Exit codes of all commands.
 */
export const exitCode = {
	ok: 0,
	/** The command completed with a negative result: faults, a refusal, or an instance that is not ready. */
	bad: 1,
	/** Invalid flags or arguments; the command did nothing. */
	usage: 2,
	/** A file could not be read or written, or an instance gave no usable answer or rejected the token. */
	unreachable: 3,
} as const;
export type ExitCode = typeof exitCode[keyof typeof exitCode];

/** Description of the exit codes for the help texts. */
export const exitCodeHelp = `
Exit codes:
  0  success
  1  negative result: faults, a refusal, or an instance that is not ready
  2  invalid flags or arguments; the command did nothing
  3  a file could not be read or written, or an instance gave no usable answer or rejected the token`;
