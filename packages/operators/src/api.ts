import {ConfigDocument} from '@egretrill/common';
import {z} from 'zod';
import * as types from './types.js';

/** Description of an API operation, from which its route and its entry in the OpenAPI document are created. */
export type Operation = {
	readonly method: 'get' | 'post';
	readonly path: string;
	readonly summary: string;
	readonly body?: SchemaName;
	readonly bodyRequired?: boolean;
	readonly answers: Readonly<Record<number, SchemaName>>;
};

const schemas = {
	ApiError: types.ApiError,
	ApplyOutcome: types.ApplyOutcome,
	ApplyRequest: types.ApplyRequest,
	ConfigDocument,
	ConfigInForce: types.ConfigInForce,
	DrainOutcome: types.DrainOutcome,
	FleetStatus: types.FleetStatus,
	NotFound: types.NotFound,
	PlacementExplanation: types.PlacementExplanation,
	RequestIdBody: types.RequestIdBody,
	TargetList: types.TargetList,
	ValidateOutcome: types.ValidateOutcome,
	ValidateRequest: types.ValidateRequest,
	WithdrawalOutcome: types.WithdrawalOutcome,
	ZoneStateOutcome: types.ZoneStateOutcome,
	ZoneStateRequest: types.ZoneStateRequest,
} as const;
type SchemaName = keyof typeof schemas;

const applyAnswers = {
	200: 'ApplyOutcome', 409: 'ApplyOutcome', 422: 'ApplyOutcome', 503: 'ApplyOutcome', 504: 'ApplyOutcome',
} as const;
const withdrawalAnswers = {
	200: 'WithdrawalOutcome', 202: 'WithdrawalOutcome', 404: 'WithdrawalOutcome', 503: 'WithdrawalOutcome', 504: 'WithdrawalOutcome',
} as const;

/** Every operation under `/v1` whose messages have a schema. */
export const operations = {
	getConfig: {
		method: 'get', path: '/v1/config', summary: 'Returns the configuration in force.', answers: {200: 'ConfigInForce', 404: 'NotFound'},
	},
	validate: {
		method: 'post', path: '/v1/config/validate', summary: 'Lists every fault of a document without applying it.', body: 'ValidateRequest', bodyRequired: true,
		answers: {200: 'ValidateOutcome', 422: 'ValidateOutcome'},
	},
	apply: {
		method: 'post', path: '/v1/config/apply', summary: 'Applies a document in full, or not at all.', body: 'ApplyRequest', bodyRequired: true,
		answers: applyAnswers,
	},
	getStatus: {
		method: 'get', path: '/v1/status', summary: 'Returns hosts, zones and the leader as this host sees them.', answers: {200: 'FleetStatus'},
	},
	withdrawKey: {
		method: 'post', path: '/v1/keys/{id}/withdraw', summary: 'Withdraws a key.', body: 'RequestIdBody', answers: withdrawalAnswers,
	},
	getWithdrawal: {
		method: 'get', path: '/v1/keys/{id}/withdrawal', summary: 'Tells whether a withdrawal is in force everywhere.', answers: withdrawalAnswers,
	},
	setZoneState: {
		method: 'post', path: '/v1/zones/{id}/state', summary: 'Takes a zone out of service or returns it.', body: 'ZoneStateRequest', bodyRequired: true,
		answers: {...applyAnswers, 404: 'ZoneStateOutcome'},
	},
	drainHost: {
		method: 'post', path: '/v1/hosts/{id}/drain', summary: 'Drains a host before it stops.', body: 'RequestIdBody', answers: {
			202: 'DrainOutcome', 404: 'DrainOutcome', 503: 'DrainOutcome', 504: 'DrainOutcome',
		},
	},
	getTargets: {
		method: 'get', path: '/v1/targets', summary: 'Lists the known targets.', answers: {200: 'TargetList'},
	},
	explainPlacement: {
		method: 'get', path: '/v1/placement/{model}', summary: 'Explains where a model runs.', answers: {200: 'PlacementExplanation', 404: 'NotFound'},
	},
} as const satisfies Record<string, Operation>;

function createSchemaReference(name: SchemaName): Record<string, unknown> {
	return {content: {'application/json': {schema: {$ref: `#/components/schemas/${name}`}}}};
}

function describeOperation(operationId: string, operation: Operation): Record<string, unknown> {
	const parameterNames = [...operation.path.matchAll(/\{(?<name>\w+)\}/gv)].map(match => match.groups?.name ?? '');
	const answers = Object.entries({...operation.answers, 401: 'ApiError', 500: 'ApiError'} as Record<string, SchemaName>);
	return {
		operationId,
		summary: operation.summary,
		parameters: parameterNames.map(name => ({
			name, in: 'path', required: true, schema: {type: 'string'},
		})),
		...(operation.body && {requestBody: {required: operation.bodyRequired ?? false, ...createSchemaReference(operation.body)}}),
		responses: Object.fromEntries(answers.map(([status, name]) => [status, {description: name, ...createSchemaReference(name)}])),
	};
}

function describeSchema(schema: z.ZodType): unknown {
	// Senders may omit fields with defaults, so the document contains the input form of each schema.
	const {$schema: _, ...described} = z.toJSONSchema(schema, {io: 'input'});
	return described;
}

/** Generates the OpenAPI document from the schemas that validate the messages. */
export function createOpenApi(): Record<string, unknown> {
	const paths: Record<string, Record<string, unknown>> = {};
	for (const [id, operation] of Object.entries<Operation>(operations)) {
		paths[operation.path] = {...paths[operation.path], [operation.method]: describeOperation(id, operation)};
	}

	return {
		openapi: '3.1.0',
		info: {title: 'egretrill operators API', version: '1'},
		security: [{operator: []}],
		paths,
		components: {
			securitySchemes: {operator: {type: 'http', scheme: 'bearer'}},
			schemas: Object.fromEntries(Object.entries(schemas).map(([name, schema]) => [name, describeSchema(schema)])),
		},
	};
}
