/**
 * Waits for conditions of processes on loopback.
 */
import {setTimeout as delay} from 'node:timers/promises';

/** Time between two looks, in milliseconds. */
const pollIntervalMs = 20;

export class ConditionTimeoutError extends Error {
	override readonly name = 'ConditionTimeoutError';

	constructor(condition: string, timeoutMs: number) {
		super(`The condition did not come true in ${timeoutMs} ms: ${condition}`);
	}
}

/** Waits until a condition holds; throws `ConditionTimeoutError` after `limitMs`, which only a fault of the product reaches. */
export async function waitUntil(condition: string, check: () => boolean | Promise<boolean>, timeoutMs = 30_000): Promise<void> {
	const startedAt = performance.now();
	while (!await check()) {
		if (performance.now() - startedAt > timeoutMs) {
			throw new ConditionTimeoutError(condition, timeoutMs);
		}

		await delay(pollIntervalMs);
	}
}
