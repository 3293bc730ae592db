/**
 * Checks what the head of a request alone decides, before its body is received.
 * Nothing changes: the request is resolved again when it has arrived as a whole.
 */
import type {Result} from 'neverthrow';
import type {RequestArrivedEvent} from '../event.js';
import type {Failure} from './failure.js';
import {admitInDrain} from './reduce-drain.js';
import {admitRelayed} from './reduce-requests.js';
import {resolveRequest} from './resolve-request.js';
import type {State} from '../state.js';

/** Returns the route's time limit in milliseconds, or why the request would be refused. */
export function checkHead(state: State, head: Pick<RequestArrivedEvent, 'host' | 'path' | 'keyDigest' | 'relayedFrom'>, now: number): Result<number, Failure> {
	const step = {state, now, effects: []};
	return admitRelayed(step, head).andThen(() => resolveRequest(step, head)).andThen(found => admitInDrain(step, found)).map(({route}) => route.timeLimitMs);
}
