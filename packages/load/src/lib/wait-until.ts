/**
 * Waits for conditions of processes on loopback.
 */
import {setTimeout as delay} from 'node:timers/promises';

/** Time between two looks, in milliseconds. */
const lookIntervalMs = 20;

export class ConditionTimeoutError extends Error {
	override readonly name = 'ConditionTimeoutError';

	constructor(condition: string, limitMs: number) {
		super(`The condition did not come true in ${limitMs} ms: ${condition}`);
	}
}

/** Waits until a condition holds; throws `ConditionTimeoutError` after `limitMs`, which only a fault of the product reaches. */
export async function waitUntil(condition: string, check: () => boolean | Promise<boolean>, limitMs = 30_000): Promise<void> {
	const startedAt = performance.now();
	while (!await check()) {
		if (performance.now() - startedAt > limitMs) {
			throw new ConditionTimeoutError(condition, limitMs);
		}

		await delay(lookIntervalMs);
	}
}
