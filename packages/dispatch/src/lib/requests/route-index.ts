/**
 * Finds the route of a request: among the routes of the host, the route with
 * the longest prefix of the path. A lookup takes one step for each slash of the
 * path, independent of the number of routes.
 */
import type {Route} from '../directory/directory-facts.js';

export type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, Route>>;

export function createRouteIndex(routes: readonly Route[]): RouteIndex {
	const index = new Map<string, Map<string, Route>>();
	for (const route of routes) {
		const host = route.host.toLowerCase();
		const byPrefix = index.get(host) ?? new Map<string, Route>();
		byPrefix.set(route.prefix, route);
		index.set(host, byPrefix);
	}

	return index;
}

/** Finds the route of a host (without port) and a path (without query). */
export function findRoute(index: RouteIndex, host: string, path: string): Route | undefined {
	const byPrefix = index.get(host.toLowerCase());
	if (byPrefix === undefined) {
		return undefined;
	}

	for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
		const route = byPrefix.get(path.slice(0, end + 1));
		if (route !== undefined) {
			return route;
		}
	}

	return undefined;
}
