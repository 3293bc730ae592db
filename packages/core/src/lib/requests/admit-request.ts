/**
 * Admission: finds the route, account and priority of a caller's request, or
 * returns a typed refusal.
 */
import {err, ok, type Result} from 'neverthrow';
import {routeKind, type Configuration, type Route} from '../configuration/configuration.js';
import type {RequestArrivedEvent} from '../event.js';
import {createNotRunRefusal, refusalReason, type Refusal} from '../refusal.js';
import type {Step} from '../state.js';

/** Retry delay for callers of a starting or draining instance, in milliseconds; their retry may reach another instance. */
const otherInstanceRetryAfterMs = 100;

/** Route, client account and priority of an admitted request. */
export type Admission = {readonly route: Route; readonly account: string; readonly priority: number};

/** Decides whether a request is admitted, before rate limits and the choice of a target. */
export function admitRequest(step: Step, event: RequestArrivedEvent): Result<Admission, Refusal> {
	const {state, now} = step;
	const {configuration, currentAt} = state.tables;
	if (configuration === undefined || currentAt === undefined || !state.membership.mayServe) {
		return err(createNotRunRefusal(refusalReason.notReady, 'This instance has no configuration yet; try again.', otherInstanceRetryAfterMs));
	}

	if (now - currentAt > configuration.fleet.staleLimitMs) {
		return err(createNotRunRefusal(refusalReason.configurationStale, 'The configuration is too old to rely on its keys and limits; try again later.', 1000));
	}

	if (state.membership.isDraining && now >= (state.membership.acceptsUntil ?? 0) && event.isForwarded !== true) {
		return err(createNotRunRefusal(refusalReason.draining, 'This instance is shutting down; connect again to reach another.', otherInstanceRetryAfterMs));
	}

	const route = findRoute(configuration, event);
	if (route === undefined) {
		return err(createNotRunRefusal(refusalReason.noRoute, 'No route takes this method, path and model; check them against the published routes.'));
	}

	return findAccount(step, route, event.keyDigest)
		.map(account => ({route, account, priority: clampPriority(configuration, account, event.priority)}));
}

function findRoute(configuration: Configuration, {method, path, model}: RequestArrivedEvent): Route | undefined {
	return configuration.routes.find(route => {
		if (!(route.methods as string[]).includes(method)) {
			return false;
		}

		return route.kind === routeKind.model
			? route.path === path && route.model === model
			: path === route.path || path.startsWith(`${route.path}/`);
	});
}

/** Finds the client account of a key digest, or the configured account of an open route; otherwise a refusal. */
export function findAccount({state}: Step, route: Route, keyDigest: string | undefined): Result<string, Refusal> {
	if (route.open) {
		return ok(route.openAccount!);
	}

	if (keyDigest === undefined) {
		return err(createNotRunRefusal(refusalReason.keyMissing, 'This route needs a key: send it as "Authorization: Bearer <key>".'));
	}

	// The lookup compares SHA-256 digests, so its duration reveals nothing about a key.
	const account = state.tables.accountByDigest.get(keyDigest);
	return account === undefined
		? err(createNotRunRefusal(refusalReason.keyUnknown, 'The key is not known or was withdrawn.'))
		: ok(account);
}

function clampPriority({accounts}: Configuration, name: string, priority: number): number {
	const highest = accounts.find(account => account.name === name)?.highestPriority ?? 0;
	return Math.max(0, Math.min(priority, highest));
}
