/**
 * Admission: from a caller's request to a pending one, or to a typed refusal.
 */
import {err, ok, type Result} from 'neverthrow';
import {routeKind, type Configuration, type Route} from '../configuration/configuration.js';
import type {RequestArrived} from '../event.js';
import {createNotRun, refusalReason, type Refusal} from '../refusal.js';
import type {Step} from '../state.js';

/** Time after which a draining or starting instance's caller should try again, in milliseconds. */
const otherInstanceRetryMs = 100;

/** A request that may run, and for whom. */
export type Admission = {readonly route: Route; readonly account: string; readonly priority: number};

/** Decides whether a request may run at all; limits and targets come after. */
export function admitRequest(step: Step, event: RequestArrived): Result<Admission, Refusal> {
	const {state, now} = step;
	const {configuration, currentAt} = state.tables;
	if (configuration === undefined || currentAt === undefined || !state.membership.mayServe) {
		return err(createNotRun(refusalReason.notReady, 'This instance has no configuration yet; try again.', otherInstanceRetryMs));
	}

	if (now - currentAt > configuration.fleet.staleLimitMs) {
		return err(createNotRun(refusalReason.configurationStale, 'The configuration is too old to rely on its keys and limits; try again later.', 1000));
	}

	if (state.membership.isDraining && now >= (state.membership.acceptsUntil ?? 0) && event.isForwarded !== true) {
		return err(createNotRun(refusalReason.draining, 'This instance is shutting down; connect again to reach another.', otherInstanceRetryMs));
	}

	const route = findRoute(configuration, event);
	if (route === undefined) {
		return err(createNotRun(refusalReason.noRoute, 'No route takes this method, path and model; check them against the published routes.'));
	}

	return findAccount(step, route, event.keyDigest)
		.map(account => ({route, account, priority: limitPriority(configuration, account, event.priority)}));
}

function findRoute(configuration: Configuration, {method, path, model}: RequestArrived): Route | undefined {
	return configuration.routes.find(route => {
		if (!(route.methods as string[]).includes(method)) {
			return false;
		}

		return route.kind === routeKind.model
			? route.path === path && route.model === model
			: path === route.path || path.startsWith(`${route.path}/`);
	});
}

/** Finds the client account of a key digest, or the account of an open route. */
export function findAccount({state}: Step, route: Route, keyDigest: string | undefined): Result<string, Refusal> {
	if (route.open) {
		return ok(route.openAccount!);
	}

	if (keyDigest === undefined) {
		return err(createNotRun(refusalReason.keyMissing, 'This route needs a key: send it as "Authorization: Bearer <key>".'));
	}

	// The look-up compares digests of SHA-256, so its time tells nothing about a key.
	const account = state.tables.accountByDigest.get(keyDigest);
	return account === undefined
		? err(createNotRun(refusalReason.keyUnknown, 'The key is not known or was withdrawn.'))
		: ok(account);
}

function limitPriority({accounts}: Configuration, name: string, priority: number): number {
	const highest = accounts.find(account => account.name === name)?.highestPriority ?? 0;
	return Math.max(0, Math.min(priority, highest));
}
