import {refuse, type Route, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import type {ConfigIndex} from './config-index.js';

function isRouteMatch(route: Route, path: string): boolean {
	return route.path.endsWith('/') ? path.startsWith(route.path) : path === route.path;
}

/** Finds the route of a path; a route path that ends in a slash matches all paths below it. */
export function matchRoute(index: ConfigIndex, path: string): Result<Route, Verdict> {
	const route = index.routes.find(candidate => isRouteMatch(candidate, path));
	return route ? Result.ok(route) : Result.err(refuse(404, 'unknown-route', 'No route is configured for this path.'));
}
