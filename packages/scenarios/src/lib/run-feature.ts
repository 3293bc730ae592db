/**
 * Runs scenarios written in Gherkin as tests of `node:test`. The Gherkin
 * library parses the text; this module finds the definition of each step.
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

/** Pattern of a step's text, and the function that runs the step. The pattern's groups become arguments. */
export type StepDefinition<World> = readonly [RegExp, (world: World, ...groups: string[]) => void | Promise<void>];

/** Thrown when no definition matches a step. */
export class UnknownStepError extends Error {
	constructor(stepText: string) {
		super(`No definition matches the step "${stepText}"; add one or correct the scenario.`);
		this.name = 'UnknownStepError';
	}
}

/** State of one scenario; created before the scenario and disposed of after it. */
export abstract class ScenarioWorld {
	/** Releases the resources of the scenario. */
	async dispose(): Promise<void> {
		// Most worlds hold no resources.
	}
}

/** Registers one test for each scenario of a feature file. Rejects if the file cannot be read or parsed. */
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
