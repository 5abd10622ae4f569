import {readFile} from 'node:fs/promises';
import {Result} from 'true-myth';
import {
	type Document, isNode, LineCounter, parseDocument,
} from 'yaml';
import type {z} from 'zod';
import {getSchemaFaults} from './faults.js';
import {ConfigDocument, type Fault, Settings} from './types.js';

type Path = readonly PropertyKey[];

function getNodeOffset(document: Document, path: Path): number | undefined {
	// A missing field has no node, so the nearest parent gives the line.
	for (let depth = path.length; depth >= 0; depth--) {
		const node = document.getIn(path.slice(0, depth), true);
		if (isNode(node) && node.range) {
			return node.range[0];
		}
	}

	return undefined;
}

/** Parses YAML text and validates it, reporting each fault with its line and path. */
export function parseYaml<Schema extends z.ZodType>(schema: Schema, text: string): Result<z.infer<Schema>, readonly Fault[]> {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines, prettyErrors: false});
	if (document.errors.length > 0) {
		return Result.err(document.errors.map(err => ({
			path: '', expected: 'valid YAML', found: err.message, line: lines.linePos(err.pos[0]).line,
		})));
	}

	const input: unknown = document.toJS();
	const parsed = schema.safeParse(input);
	if (parsed.success) {
		return Result.ok(parsed.data);
	}

	return Result.err(getSchemaFaults(input, parsed.error, path => {
		const offset = getNodeOffset(document, path);
		return offset === undefined ? undefined : lines.linePos(offset).line;
	}));
}

/** Restores a configuration document from YAML or JSON text. */
export function parseConfigDocument(text: string): Result<ConfigDocument, readonly Fault[]> {
	return parseYaml(ConfigDocument, text);
}

/** Restores a daemon's settings from YAML text. */
export function parseSettings(text: string): Result<Settings, readonly Fault[]> {
	return parseYaml(Settings, text);
}

/** Reads and restores a daemon's settings file. */
export async function readSettings(file: string): Promise<Result<Settings, readonly Fault[]>> {
	return parseSettings(await readFile(file, 'utf8'));
}

/** Formats faults the way compilers do: file, line, path, what was expected and found. */
export function formatFaults(file: string, faults: readonly Fault[]): string {
	return faults.map(fault => `${file}:${fault.line ?? '?'}: ${fault.path === '' ? '(document)' : fault.path}: expected ${fault.expected}, found ${fault.found}`).join('\n');
}
