import type {Container} from 'inversify';
import yargs, {type Argv} from 'yargs';
import {Command, type CommandGroup} from './command.js';
import {EXIT_CODES_TEXT, EXIT_DONE, HELP_WIDTH_COLUMNS} from './constants.js';
import {CommandError, createUsageError} from './errors.js';
import {tokens} from './tokens.js';
import type {Report} from './types.js';

type CommandRunner = (command: Command, args: unknown) => Promise<void>;

function describeCommand(argv: Argv, command: Command): Argv {
	let configured = argv.options(command.options).epilogue(EXIT_CODES_TEXT);
	for (const [name, positional] of Object.entries(command.positionals)) {
		configured = configured.positional(name, positional);
	}

	for (const [line, summary] of command.help.examples) {
		configured = configured.example(`egretrill ${line}`, summary);
	}

	return configured;
}

function addCommand(argv: Argv, entry: Command | CommandGroup, run: CommandRunner): Argv {
	if (entry instanceof Command) {
		return argv.command(entry.help.usage, entry.help.summary, builder => describeCommand(builder, entry), async args => run(entry, args));
	}

	return argv.command(entry.usage, entry.summary, builder => {
		let group = builder.demandCommand(1, `Name a command of ${entry.usage}.`).epilogue(EXIT_CODES_TEXT);
		for (const command of entry.commands) {
			group = addCommand(group, command, run);
			const [line, summary] = command.help.examples[0] ?? [];
			group = line === undefined || summary === undefined ? group : group.example(`egretrill ${line}`, summary);
		}

		return group;
	});
}

async function runCommand(command: Command, args: unknown, container: Container, isJson: boolean): Promise<Report> {
	const parsed = command.schema.safeParse(args);
	if (!parsed.success) {
		const faults = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`);
		throw createUsageError(faults.join('\n'));
	}

	return command.run(parsed.data, container.get(tokens.createOutput)(isJson));
}

async function parse(args: readonly string[], container: Container, isJson: boolean): Promise<Report | undefined> {
	let report: Report | undefined;
	const run: CommandRunner = async (command, commandArgs) => {
		report = await runCommand(command, commandArgs, container, isJson);
	};

	let parser: Argv = yargs([...args])
		.scriptName('egretrill')
		.usage('$0 COMMAND: operates a fleet of egretrill hosts')
		.option('json', {type: 'boolean', default: false, describe: 'Print the result as JSON'})
		.example('egretrill check atlas.yaml', 'Check a document')
		.example('egretrill apply atlas.yaml --follows 7', 'Apply it')
		.epilogue(EXIT_CODES_TEXT)
		.demandCommand(1, 'Name a command.')
		.strict()
		.detectLocale(false)
		.version(false)
		.wrap(HELP_WIDTH_COLUMNS)
		.exitProcess(false)
		.fail((message, err) => {
			throw err ?? createUsageError(`${message}\nSee egretrill --help.`);
		});
	for (const entry of container.get(tokens.commands)) {
		parser = addCommand(parser, entry, run);
	}

	await parser.parseAsync();
	return report;
}

/** Runs one command line and returns its exit code. */
export async function runCli(args: readonly string[], container: Container): Promise<number> {
	const isJson = args.includes('--json');
	const output = container.get(tokens.createOutput)(isJson);
	try {
		const report = await parse(args, container, isJson);
		if (!report) {
			// Yargs has printed the help.
			return EXIT_DONE;
		}

		output.report(report);
		return report.exitCode;
	} catch (err: unknown) {
		if (!(err instanceof CommandError)) {
			throw err;
		}

		output.report(err.report);
		return err.report.exitCode;
	}
}
