import {parseConfigDocument} from '@egretrill/common';
import {
	type ConfigInForce, ConfigInForce as ConfigInForceSchema, type Finding, NotFound, operations, reviewDocument, toErrorFinding,
} from '@egretrill/operators';
import {z} from 'zod';
import {Command, type CommandHelp, connectionOptions} from '../command.js';
import type {AdminConnector} from '../connector.js';
import {EXIT_DONE, EXIT_FAILED, EXIT_USAGE} from '../constants.js';
import {CommandError} from '../errors.js';
import {locateFaults, readTextFile} from '../files.js';
import {reportReadFailure, reportRefused} from '../reports.js';
import {ConnectionArgs, type Report} from '../types.js';

const ReviewArgs = z.object({...ConnectionArgs.shape, file: z.string(), strict: z.boolean().default(false)});
type ReviewArgs = z.infer<typeof ReviewArgs>;

function findAll(text: string, current?: ConfigInForce): readonly Finding[] {
	return parseConfigDocument(text).match({
		Ok: document => locateFaults(text, reviewDocument(document, current?.document)),
		Err: faults => faults.map(fault => toErrorFinding(fault, 'schema')),
	});
}

function formatFinding(file: string, finding: Finding): string {
	const {kind, code, path, message, line} = finding;
	return `${file}:${line ?? '?'}: ${kind} ${code}: ${path === '' ? '(document)' : path}: ${message}`;
}

function reportFindings({file, strict}: ReviewArgs, findings: readonly Finding[], current?: ConfigInForce): Report {
	const hasFailed = findings.some(({kind}) => kind === 'error' || (strict && kind === 'warning'));
	const comparedWith = current?.version;
	const text = findings.length === 0 ? `${file}: no findings` : findings.map(finding => formatFinding(file, finding)).join('\n');
	const data = {
		result: hasFailed ? 'invalid' : 'valid', file, comparedWith, findings,
	};
	return {exitCode: hasFailed ? EXIT_FAILED : EXIT_DONE, text, data};
}

/** Reviews a configuration document before it is applied. */
export class ReviewCommand extends Command<typeof ReviewArgs> {
	readonly help: CommandHelp = {
		usage: 'review <file>',
		summary: 'Lists errors, unused entries and conflicting limits of a document',
		examples: [
			['review atlas.yaml', 'Review a document without a fleet; exit code 1 if it has errors'],
			['review atlas.yaml --strict', 'Exit with code 1 also if there are only warnings'],
			['review atlas.yaml --admin 10.0.0.1:7400', 'List also what differs from the version in force'],
		],
	};

	readonly schema = ReviewArgs;
	override readonly positionals = {file: {type: 'string', describe: 'Configuration document (YAML)'}} as const;
	override readonly options = {
		...connectionOptions,
		admin: {type: 'string', describe: 'Admin address of the host whose version in force is compared; without it no host is asked'},
		strict: {type: 'boolean', default: false, describe: 'Treat warnings as errors'},
	} as const;

	constructor(private readonly connector: AdminConnector) {
		super();
	}

	async run(args: ReviewArgs): Promise<Report> {
		const text = await readTextFile(args.file);
		const current = args.admin === undefined ? undefined : await this.readInForce(args);
		return reportFindings(args, findAll(text, current), current);
	}

	private async readInForce(args: ReviewArgs): Promise<ConfigInForce> {
		const client = await this.connector.connect(args);
		const answer = await client.call({operation: operations.getConfig}, z.union([ConfigInForceSchema, NotFound]));
		if (answer.isErr) {
			throw new CommandError({...reportReadFailure(answer.error), exitCode: EXIT_USAGE});
		}

		if ('result' in answer.value) {
			throw new CommandError({...reportRefused(answer.value.reason, answer.value), exitCode: EXIT_USAGE});
		}

		return answer.value;
	}
}
