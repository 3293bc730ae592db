/**
 * Polls conditions of processes on loopback until they hold.
 */
import {setTimeout as delay} from 'node:timers/promises';

const pollIntervalMs = 20;

export class ConditionTimeoutError extends Error {
	override readonly name = 'ConditionTimeoutError';

	constructor(condition: string, timeoutMs: number) {
		super(`Condition not met within ${timeoutMs} ms: ${condition}`);
	}
}

/** Waits until a condition holds. Throws `ConditionTimeoutError` after `timeoutMs`, which is long enough that only a fault of the product exceeds it. */
export async function waitUntil(condition: string, check: () => boolean | Promise<boolean>, timeoutMs = 30_000): Promise<void> {
	const startedAt = performance.now();
	while (!await check()) {
		if (performance.now() - startedAt > timeoutMs) {
			throw new ConditionTimeoutError(condition, timeoutMs);
		}

		await delay(pollIntervalMs);
	}
}
