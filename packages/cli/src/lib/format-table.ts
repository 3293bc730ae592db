/**
 * Formats tables and ages for a terminal.
 */

/** Formats a header and rows; each column is as wide as its widest cell. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] {
	const allRows = [header, ...rows];
	const widths = header.map((_, column) => Math.max(...allRows.map(row => row[column]?.length ?? 0)));
	return allRows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd());
}

/** Formats an age as seconds, such as `1.5 s`, or as `never` if it is `undefined`. */
export function formatAge(ms: number | undefined): string {
	return ms === undefined ? 'never' : `${(ms / 1000).toFixed(1)} s`;
}
