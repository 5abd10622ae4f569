import type {Options, PositionalOptions} from 'yargs';
import type {z} from 'zod';
import type {Output} from './output.js';
import type {Report} from './types.js';

/** Help text of a command. */
export type CommandHelp = {
	/** Usage in the syntax of yargs, for example `apply <file>`. */
	readonly usage: string;
	readonly summary: string;
	/** Command lines without the program name, each with a description. */
	readonly examples: ReadonlyArray<readonly [line: string, summary: string]>;
};

/** One command of the command line; `schema` validates and parses its arguments. */
export abstract class Command<Schema extends z.ZodType = z.ZodType> {
	readonly positionals: Readonly<Record<string, PositionalOptions>> = {};
	readonly options: Readonly<Record<string, Options>> = {};
	abstract readonly help: CommandHelp;
	abstract readonly schema: Schema;

	abstract run(args: z.infer<Schema>, output: Output): Promise<Report>;
}

/** Commands that share their first word, for example `keys`. */
export type CommandGroup = {readonly usage: string; readonly summary: string; readonly commands: readonly Command[]};

export const connectionOptions: Readonly<Record<string, Options>> = {
	admin: {type: 'string', describe: 'Admin address of a host (or EGRETRILL_ADMIN)'},
	'key-file': {type: 'string', describe: 'File with the operator credential (or EGRETRILL_OPERATOR_KEY)'},
	operator: {type: 'string', describe: 'Name recorded as the author of changes (or EGRETRILL_OPERATOR)'},
};

export const changeOptions: Readonly<Record<string, Options>> = {
	...connectionOptions,
	'request-id': {type: 'string', describe: 'Identifies the change, so that a repeated command applies it once'},
};
