import {
	refuse, type TrafficConfig, type TrafficCustomer, type TrafficRoute, type TrafficService, type Verdict,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {getKeyDigest} from '../authenticate.js';
import type {ForwardCall} from './types.js';

/** A traffic configuration indexed for the lookups of each request. */
export class RouteTable {
	readonly services: ReadonlyMap<string, TrafficService>;
	private readonly routesByHost = new Map<string, TrafficRoute[]>();
	/** Customers by the digest of their keys, so that the time of a lookup does not depend on the key. */
	private readonly customersByDigest: ReadonlyMap<string, TrafficCustomer>;

	constructor(readonly config: TrafficConfig) {
		this.services = new Map(config.services.map(service => [service.name, service]));
		for (const route of config.routes.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length)) {
			const routes = this.routesByHost.get(route.hostName) ?? [];
			routes.push(route);
			this.routesByHost.set(route.hostName, routes);
		}

		this.customersByDigest = new Map((config.customers ?? []).flatMap(customer => customer.keys.map(key => [getKeyDigest(key), customer])));
	}

	/** Finds the route of a host name with the longest matching path prefix. */
	findRoute(hostName: string, url: string): Result<TrafficRoute, Verdict> {
		const path = url.split('?', 1)[0] ?? '';
		const route = this.routesByHost.get(hostName)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
		return route ? Result.ok(route) : Result.err(refuse(404, 'unknown-route', 'No route is configured for this host and path.'));
	}

	/** Finds the customer of a request; none on open routes and in configurations without customers. */
	findCustomer(route: TrafficRoute, {key}: ForwardCall): Result<TrafficCustomer | undefined, Verdict> {
		const customer = key === undefined ? undefined : this.customersByDigest.get(getKeyDigest(key));
		if (customer === undefined && this.config.customers !== undefined && !route.isOpen) {
			return Result.err(refuse(401, 'invalid-key', 'The request carries no valid key.'));
		}

		return Result.ok(route.isOpen ? undefined : customer);
	}
}

/** Picks a service at random by its weight in the route. */
export function pickService(route: TrafficRoute, random: number): string | undefined {
	const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random * total;
	for (const {service, weight} of route.services) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return route.services.find(({weight}) => weight > 0)?.service;
}

/** Amount that a request is charged to its customer's rate. */
export function getCost(customer: TrafficCustomer, {tokensIn, tokensOut}: ForwardCall): number {
	if (customer.unit === 'requests') {
		return 1;
	}

	return tokensIn === undefined || tokensOut === undefined ? customer.plainTokens : tokensIn + tokensOut;
}
