import type {
	ApiKey, ConfigDocument, Customer, Model, Route, Zone,
} from '@egretrill/common';

/** A configuration document with the lookups that each request makes. */
export type ConfigIndex = {
	readonly document: ConfigDocument;
	readonly customers: ReadonlyMap<string, Customer>;
	readonly keysByDigest: ReadonlyMap<string, ApiKey>;
	readonly models: ReadonlyMap<string, Model>;
	readonly zones: ReadonlyMap<string, Zone>;
	readonly routes: readonly Route[];
};

/** Builds the lookups of a document once for all requests that it serves. */
export function createConfigIndex(document: ConfigDocument): ConfigIndex {
	return {
		document,
		customers: new Map(document.customers.map(customer => [customer.id, customer])),
		keysByDigest: new Map(document.keys.map(key => [key.digest, key])),
		models: new Map(document.models.map(model => [model.id, model])),
		zones: new Map(document.zones.map(zone => [zone.id, zone])),
		// The longest path is tried first, so that a prefix does not hide a more exact route.
		routes: document.routes.toSorted((a, b) => b.path.length - a.path.length),
	};
}

/** Gives the configuration in force at this host and how old the knowledge is. */
export abstract class ConfigSource {
	/** The configuration in force, or undefined before the first one has arrived. */
	abstract getIndex(): ConfigIndex | undefined;
	/** Milliseconds since the leader surely confirmed this configuration as the latest. */
	abstract getAgeMs(): number;
}
