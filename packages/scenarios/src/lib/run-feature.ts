/**
 * Runs scenarios written in Gherkin through `node:test`. The library parses
 * the text; this module matches each step with its definition.
 *
 * ```ts
 * await runFeature(new URL('../../features/keys.feature', import.meta.url), createWorld, [
 *   [/^(\d+) routers$/, (world, count) => world.start(Number(count))],
 * ]);
 * ```
 */
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {
	AstBuilder, compile, GherkinClassicTokenMatcher, Parser,
} from '@cucumber/gherkin';
import {IdGenerator, type Pickle} from '@cucumber/messages';

/** What a step's text must match, and what it does. Groups of the pattern become arguments. */
export type StepDefinition<World> = readonly [RegExp, (world: World, ...groups: string[]) => void | Promise<void>];

/** A step that no definition matches. */
export class UnknownStepError extends Error {
	constructor(stepText: string) {
		super(`No definition matches the step "${stepText}"; add one or correct the scenario.`);
		this.name = 'UnknownStepError';
	}
}

/** What a scenario works on; created for each scenario and disposed of after it. */
export abstract class ScenarioWorld {
	/** Ends whatever the scenario started. */
	async dispose(): Promise<void> {
		// Most worlds have nothing to end.
	}
}

/** Registers one test for each scenario of a feature file. */
export async function runFeature<World extends ScenarioWorld>(
	file: URL,
	createWorld: () => World | Promise<World>,
	definitions: ReadonlyArray<StepDefinition<World>>,
): Promise<void> {
	const newId = IdGenerator.incrementing();
	const parser = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher());
	const document = parser.parse(await readFile(file, 'utf8'));
	for (const pickle of compile(document, file.href, newId)) {
		void test(`${document.feature?.name ?? ''}: ${pickle.name}`, async () => runScenario(pickle, createWorld, definitions));
	}
}

async function runScenario<World extends ScenarioWorld>(
	pickle: Pickle,
	createWorld: () => World | Promise<World>,
	definitions: ReadonlyArray<StepDefinition<World>>,
): Promise<void> {
	const world = await createWorld();
	try {
		for (const {text} of pickle.steps) {
			await runStep(world, text, definitions);
		}
	} finally {
		await world.dispose();
	}
}

async function runStep<World>(world: World, text: string, definitions: ReadonlyArray<StepDefinition<World>>): Promise<void> {
	for (const [pattern, run] of definitions) {
		const match = pattern.exec(text);
		if (match !== null) {
			await run(world, ...match.slice(1));
			return;
		}
	}

	throw new UnknownStepError(text);
}
