import {DEFAULT_KEY_LEASE_MS} from '@egretrill/common';

export type FormField = {
	/** Path below the entry, with dots. */
	readonly name: string;
	readonly label: string;
	readonly kind: 'text' | 'number' | 'checkbox' | 'select';
	readonly options?: readonly string[];
	/** Section whose ids are offered as suggestions. */
	readonly suggests?: 'customers' | 'models' | 'services' | 'accelerators';
	readonly isReadOnly?: boolean;
	readonly hint?: string;
};

/** A list of the document and the fields of its entries. */
export type FormSection = {
	readonly path: string;
	readonly title: string;
	readonly entry: string;
	readonly fields: readonly FormField[];
	/** Values of a new entry. */
	readonly initial: Readonly<Record<string, unknown>>;
	readonly lists?: readonly FormSection[];
};

function text(name: string, label: string, more: Partial<FormField> = {}): FormField {
	return {
		name, label, kind: 'text', ...more,
	};
}

function number(name: string, label: string, more: Partial<FormField> = {}): FormField {
	return {
		name, label, kind: 'number', ...more,
	};
}

function select(name: string, label: string, options: readonly string[]): FormField {
	return {
		name, label, kind: 'select', options,
	};
}

const placementFields = [
	text('model', 'Model', {suggests: 'models'}),
	text('target', 'Target', {suggests: 'accelerators'}),
];

/** Fields that stand alone in the document. */
export const documentFields: readonly FormField[] = [
	text('fleet', 'Fleet', {hint: 'The name of a fleet cannot change once a configuration is in force.'}),
	number('weightStore.loadsPerSecond', 'Weight store: loads per second'),
	number('weightStore.concurrentLoads', 'Weight store: concurrent loads'),
	number('weightStore.concurrentAdapterLoads', 'Weight store: concurrent adapter loads'),
];

/** Every list of the document, in the order of the form. */
export const sections: readonly FormSection[] = [
	{
		path: 'zones',
		title: 'Zones',
		entry: 'Zone',
		fields: [text('id', 'Id'), text('region', 'Region'), select('state', 'State', ['in-service', 'taken-out'])],
		initial: {state: 'in-service'},
	},
	{
		path: 'customers',
		title: 'Customers and rates',
		entry: 'Customer',
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
		entry: 'Key',
		fields: [
			text('id', 'Id'),
			text('customer', 'Customer', {suggests: 'customers'}),
			text('digest', 'SHA-256 digest', {isReadOnly: true, hint: 'The key itself is shown only once, when it is added.'}),
			select('state', 'State', ['active', 'withdrawn']),
		],
		initial: {state: 'active'},
	},
	{
		path: 'routes',
		title: 'Routes',
		entry: 'Route',
		fields: [
			text('path', 'Path'),
			select('kind', 'Leads to', ['model', 'service']),
			text('service', 'Service', {suggests: 'services', hint: 'Only for a route that leads to a service.'}),
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
		entry: 'Model',
		fields: [
			text('id', 'Id'),
			text('version', 'Version'),
			number('memoryMb', 'Memory in MB'),
			number('kvReserveMb', 'Reserve for the KV cache in MB'),
			number('minCopies', 'Least number of copies'),
		],
		initial: {minCopies: 1, adapters: []},
		lists: [{
			path: 'adapters', title: 'Adapters', entry: 'Adapter', fields: [text('id', 'Id'), number('memoryMb', 'Memory in MB')], initial: {},
		}],
	},
	{
		path: 'services', title: 'Services', entry: 'Service', fields: [text('id', 'Id')], initial: {},
	},
	{
		path: 'accelerators', title: 'Accelerators', entry: 'Accelerator', fields: [text('target', 'Target'), number('memoryMb', 'Memory in MB')], initial: {},
	},
	{
		path: 'placements.pins', title: 'Pinned placements', entry: 'Pin', fields: placementFields, initial: {},
	},
	{
		path: 'placements.forbids', title: 'Forbidden placements', entry: 'Forbidden placement', fields: placementFields, initial: {},
	},
];
