/**
 * Base class of the experiments. Each experiment answers one question with one
 * or more tables; `npm run measure` runs all of them.
 */

/** A table of results; every row has as many cells as there are columns. */
export type ResultTable = {
	readonly title: string;
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<ReadonlyArray<string | number>>;
	/** Conditions of the measurement and definitions of its figures. */
	readonly notes?: readonly string[];
};

export abstract class Experiment {
	/** Short name in kebab case, which selects the experiment on the command line. */
	abstract readonly name: string;
	/** The question that the experiment answers. */
	abstract readonly question: string;
	/** True if the experiment uses virtual time and a fixed seed, so that each run gives the same figures. */
	abstract readonly isReproducible: boolean;

	abstract run(): Promise<readonly ResultTable[]>;
}

/** Renders a table as Markdown, with its notes below it. */
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
