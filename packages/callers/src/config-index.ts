import type {
	ApiKey, ConfigDocument, Customer, Model, Route, Zone,
} from '@egretrill/common';

/** A configuration document indexed for the lookups of each request. */
export type ConfigIndex = {
	readonly document: ConfigDocument;
	readonly customers: ReadonlyMap<string, Customer>;
	readonly keysByDigest: ReadonlyMap<string, ApiKey>;
	readonly models: ReadonlyMap<string, Model>;
	readonly zones: ReadonlyMap<string, Zone>;
	readonly routes: readonly Route[];
};

/** Builds the indexes of a document once, for use by all requests. */
export function createConfigIndex(document: ConfigDocument): ConfigIndex {
	return {
		document,
		customers: new Map(document.customers.map(customer => [customer.id, customer])),
		keysByDigest: new Map(document.keys.map(key => [key.digest, key])),
		models: new Map(document.models.map(model => [model.id, model])),
		zones: new Map(document.zones.map(zone => [zone.id, zone])),
		// The longest path is matched first, so that a prefix does not shadow a more specific route.
		routes: document.routes.toSorted((a, b) => b.path.length - a.path.length),
	};
}

/** Provides the configuration in force on this host and its age. */
export abstract class ConfigSource {
	/** The configuration in force; undefined before the first one has arrived. */
	abstract getIndex(): ConfigIndex | undefined;
	/** Milliseconds since the latest time at which the leader is certain to have confirmed this configuration as current. */
	abstract getAgeMs(): number;
}
