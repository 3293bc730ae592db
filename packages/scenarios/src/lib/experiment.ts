/**
 * Experiments: repeatable measurements, each of which answers one question
 * with one or more tables. `npm run measure` runs all of them.
 */

/** A table of results; every row has as many cells as there are columns. */
export type ResultTable = {
	readonly title: string;
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<ReadonlyArray<string | number>>;
	/** What a reader has to know to use the figures. */
	readonly notes?: readonly string[];
};

/** Base class of all experiments. */
export abstract class Experiment {
	/** Short name in kebab case, used to select it on the command line. */
	abstract readonly name: string;
	/** The question that it answers. */
	abstract readonly question: string;
	/** True: figures come from virtual time and a seed, so each run gives the same. */
	abstract readonly isRepeatable: boolean;

	abstract run(): Promise<readonly ResultTable[]>;
}

/** Renders a table as Markdown. */
export function renderTable({title, columns, rows, notes = []}: ResultTable): string {
	const renderRow = (cells: ReadonlyArray<string | number>) => `| ${cells.join(' | ')} |`;
	return [
		`### ${title}`,
		'',
		renderRow(columns),
		renderRow(columns.map(() => '---')),
		...rows.map(row => renderRow(row)),
		'',
		...notes.flatMap(note => [note, '']),
	].join('\n');
}
