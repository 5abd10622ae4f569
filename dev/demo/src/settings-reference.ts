import {ConfigDocument, Settings} from '@egretrill/common';
import {z} from 'zod';

type Schema = {
	readonly type?: string;
	readonly properties?: Readonly<Record<string, Schema>>;
	readonly items?: Schema;
	readonly required?: readonly string[];
	readonly default?: unknown;
	readonly enum?: readonly unknown[];
	readonly const?: string | number | boolean;
	readonly oneOf?: readonly Schema[];
	readonly anyOf?: readonly Schema[];
	readonly minimum?: number;
	readonly exclusiveMinimum?: number;
	readonly maximum?: number;
};

function describeValues(schema: Schema): string {
	if (schema.enum) {
		return schema.enum.map(value => `\`${String(value)}\``).join(', ');
	}

	if (schema.const !== undefined) {
		return `\`${schema.const}\``;
	}

	const bounds = [
		...(schema.minimum === undefined ? [] : [`at least ${schema.minimum}`]),
		...(schema.exclusiveMinimum === undefined ? [] : [`above ${schema.exclusiveMinimum}`]),
		...(schema.maximum === undefined || schema.maximum >= Number.MAX_SAFE_INTEGER ? [] : [`at most ${schema.maximum}`]),
	];
	return [schema.type ?? 'any', ...bounds].join(', ');
}

function describeFields(schema: Schema, prefix: string): readonly string[] {
	const variants = schema.oneOf ?? schema.anyOf;
	if (variants) {
		return [...new Set(variants.flatMap(variant => describeFields(variant, prefix)))];
	}

	if (schema.items) {
		return describeFields(schema.items, `${prefix}[]`);
	}

	return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
		const path = prefix === '' ? name : `${prefix}.${name}`;
		const defaultText = field.default === undefined ? (schema.required?.includes(name) ? 'required' : 'optional') : `\`${JSON.stringify(field.default)}\``;
		return [`| \`${path}\` | ${describeValues(field)} | ${defaultText} |`, ...describeFields(field, path)];
	});
}

function describeSchema(title: string, schema: z.ZodType): string {
	const json = z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'}) as Schema;
	return [`## ${title}`, '', '| Field | Values | Default |', '| --- | --- | --- |', ...describeFields(json, '')].join('\n');
}

/** Generates the reference of settings and configuration from their schemas. */
export function createSettingsReference(): string {
	return [
		'# Settings and configuration reference',
		'',
		'Generated from the schemas by `npm run docs`. Fields that end in `Ms` are milliseconds, in `Mb` megabytes. `[]` stands for each entry of a list.',
		'',
		describeSchema('Settings of a host', Settings),
		'',
		describeSchema('Configuration document', ConfigDocument),
		'',
	].join('\n');
}
