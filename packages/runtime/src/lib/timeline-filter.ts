/**
 * Selects lines of the timeline for the administration API and the command
 * line.
 */
import type {TimelineLine} from './timeline.js';

/** Values that a line has to match; a field that is `undefined` matches every line. */
export type TimelineFilter = {
	readonly request?: string;
	readonly chat?: string;
	readonly account?: string;
	readonly target?: string;
	readonly instance?: string;
	readonly kind?: string;
	/** Wall-clock bounds in milliseconds since the Unix epoch, both inclusive. */
	readonly sinceMs?: number;
	readonly untilMs?: number;
};

/** Whether a line matches all given fields of a filter. */
export function isSelected(line: TimelineLine, filter: TimelineFilter): boolean {
	return isMatch(filter.request, line.requestId ?? line.cause)
		&& isMatch(filter.chat, line.chatKey)
		&& isMatch(filter.account, line.account)
		&& isMatch(filter.target, line.targetId)
		&& isMatch(filter.instance, line.instanceId)
		&& isMatch(filter.kind, line.kind)
		&& line.wallMs >= (filter.sinceMs ?? Number.NEGATIVE_INFINITY)
		&& line.wallMs <= (filter.untilMs ?? Number.POSITIVE_INFINITY);
}

function isMatch(expected: string | undefined, value: unknown): boolean {
	return expected === undefined || expected === value;
}
