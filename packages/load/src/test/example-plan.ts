/**
 * A small load plan for tests.
 */
import {checkLoadPlan, type LoadPlan} from '../lib/load-plan.js';

export const examplePlan = {
	name: 'example',
	seed: 7,
	settleMs: 0,
	durationMs: 2000,
	deployment: {
		configuration: 'example.json', routerCount: 2, zones: ['zone-a'], modelPool: 'model', model: 'model', engineCount: 2, plainPool: 'plain', plainCount: 1,
	},
};

/** Creates a validated plan from the example with the given changes. */
export function createExamplePlan(changes: Readonly<Record<string, unknown>> = {}): LoadPlan {
	return checkLoadPlan({...examplePlan, ...changes}).unwrap();
}
