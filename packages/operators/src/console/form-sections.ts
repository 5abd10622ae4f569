import {DEFAULT_KEY_LEASE_MS} from '@egretrill/common';

export type FormField = {
	/** Dotted path of the field in its entry. */
	readonly name: string;
	readonly label: string;
	readonly kind: 'text' | 'number' | 'checkbox' | 'select';
	readonly options?: readonly string[];
	/** Section whose ids are suggested as values. */
	readonly suggestionSource?: 'customers' | 'models' | 'services' | 'accelerators';
	readonly isReadOnly?: boolean;
	readonly hint?: string;
};

/** A list of the document, with the fields of its entries. */
export type FormSection = {
	readonly path: string;
	readonly title: string;
	/** Label of one entry. */
	readonly entryLabel: string;
	readonly fields: readonly FormField[];
	/** Initial values of a new entry. */
	readonly initial: Readonly<Record<string, unknown>>;
	/** Lists within each entry. */
	readonly lists?: readonly FormSection[];
};

function text(name: string, label: string, opts: Partial<FormField> = {}): FormField {
	return {
		name, label, kind: 'text', ...opts,
	};
}

function number(name: string, label: string, opts: Partial<FormField> = {}): FormField {
	return {
		name, label, kind: 'number', ...opts,
	};
}

function select(name: string, label: string, options: readonly string[]): FormField {
	return {
		name, label, kind: 'select', options,
	};
}

const placementFields = [
	text('model', 'Model', {suggestionSource: 'models'}),
	text('target', 'Target', {suggestionSource: 'accelerators'}),
];

/** Fields of the document that are not in a list. */
export const documentFields: readonly FormField[] = [
	text('fleet', 'Fleet', {hint: 'The name of a fleet cannot change once a configuration is in force.'}),
	number('weightStore.loadsPerSecond', 'Weight store: loads per second'),
	number('weightStore.concurrentLoads', 'Weight store: concurrent loads'),
	number('weightStore.concurrentAdapterLoads', 'Weight store: concurrent adapter loads'),
];

/** Every list of the document, in the order in which the form shows them. */
export const sections: readonly FormSection[] = [
	{
		path: 'zones',
		title: 'Zones',
		entryLabel: 'Zone',
		fields: [text('id', 'Id'), text('region', 'Region'), select('state', 'State', ['in-service', 'taken-out'])],
		initial: {state: 'in-service'},
	},
	{
		path: 'customers',
		title: 'Customers and rates',
		entryLabel: 'Customer',
		fields: [
			text('id', 'Id'),
			number('weight', 'Weight in the fair queue'),
			number('rate.tokensPerSecond', 'Rate: tokens per second'),
			number('rate.burstTokens', 'Burst: tokens'),
			number('rate.requestsPerSecond', 'Rate: requests per second'),
			number('rate.burstRequests', 'Burst: requests'),
			number('keyLeaseMs', 'Key lease in ms', {hint: 'How long a host that is cut off may still honour the keys of this customer.'}),
		],
		initial: {weight: 1, keyLeaseMs: DEFAULT_KEY_LEASE_MS},
	},
	{
		path: 'keys',
		title: 'Keys',
		entryLabel: 'Key',
		fields: [
			text('id', 'Id'),
			text('customer', 'Customer', {suggestionSource: 'customers'}),
			text('digest', 'SHA-256 digest', {isReadOnly: true, hint: 'The key itself is shown only once, when it is added.'}),
			select('state', 'State', ['active', 'withdrawn']),
		],
		initial: {state: 'active'},
	},
	{
		path: 'routes',
		title: 'Routes',
		entryLabel: 'Route',
		fields: [
			text('path', 'Path'),
			select('kind', 'Leads to', ['model', 'service']),
			text('service', 'Service', {suggestionSource: 'services', hint: 'Only for a route that leads to a service.'}),
			select('access', 'Access', ['keyed', 'open']),
			{name: 'idempotent', label: 'Idempotent', kind: 'checkbox'},
			select('priority', 'Priority', ['interactive', 'batch']),
			number('timeoutMs', 'Timeout in ms'),
		],
		initial: {
			kind: 'model', access: 'keyed', idempotent: false, priority: 'interactive', timeoutMs: 30_000,
		},
	},
	{
		path: 'models',
		title: 'Models and adapters',
		entryLabel: 'Model',
		fields: [
			text('id', 'Id'),
			text('version', 'Version'),
			number('memoryMb', 'Memory in MB'),
			number('kvReserveMb', 'Reserve for the KV cache in MB'),
			number('minCopies', 'Least number of copies'),
		],
		initial: {minCopies: 1, adapters: []},
		lists: [{
			path: 'adapters', title: 'Adapters', entryLabel: 'Adapter', fields: [text('id', 'Id'), number('memoryMb', 'Memory in MB')], initial: {},
		}],
	},
	{
		path: 'services', title: 'Services', entryLabel: 'Service', fields: [text('id', 'Id')], initial: {},
	},
	{
		path: 'accelerators', title: 'Accelerators', entryLabel: 'Accelerator', fields: [text('target', 'Target'), number('memoryMb', 'Memory in MB')], initial: {},
	},
	{
		path: 'placements.pins', title: 'Pinned placements', entryLabel: 'Pin', fields: placementFields, initial: {},
	},
	{
		path: 'placements.forbids', title: 'Forbidden placements', entryLabel: 'Forbidden placement', fields: placementFields, initial: {},
	},
];
