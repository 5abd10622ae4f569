import {parseConfigDocument, parseSettings} from '@egretrill/common';
import {z} from 'zod';
import {Command, type CommandHelp} from '../command.js';
import {CommandError} from '../errors.js';
import {readTextFile, reportFaults} from '../files.js';
import {reportRefused} from '../reports.js';
import type {Report} from '../types.js';

const StartArgs = z.object({settings: z.string(), initialConfig: z.string().optional()});

async function restoreFile<Restored extends ReturnType<typeof parseConfigDocument> | ReturnType<typeof parseSettings>>(file: string, restore: (text: string) => Restored) {
	const restored = restore(await readTextFile(file));
	if (restored.isErr) {
		throw new CommandError(reportFaults(file, restored.error));
	}

	return restored.value as Extract<Restored, {isOk: true}>['value'];
}

/** Runs one host of the fleet in this process. */
export class StartCommand extends Command<typeof StartArgs> {
	readonly help: CommandHelp = {
		usage: 'start',
		summary: 'Runs a host of the fleet in this process until it is drained or stopped',
		examples: [['start --settings host-a1.yaml', 'Start the host that the file describes']],
	};

	readonly schema = StartArgs;
	override readonly options = {
		settings: {type: 'string', demandOption: true, describe: 'Settings of this host (YAML)'},
		'initial-config': {type: 'string', describe: 'Configuration document to apply if the fleet has none yet (YAML)'},
	} as const;

	async run({settings: settingsFile, initialConfig}: z.infer<typeof StartArgs>): Promise<Report> {
		const settings = await restoreFile(settingsFile, parseSettings);
		const document = initialConfig === undefined ? undefined : await restoreFile(initialConfig, parseConfigDocument);
		// Only this command needs the daemon, whose modules take most of the start time.
		const {runDaemon} = await import('@egretrill/egretrilld');
		try {
			const report = await runDaemon(settings, document);
			return {exitCode: report.exitCode, text: JSON.stringify(report), data: report};
		} catch (err: unknown) {
			const reason = err instanceof Error ? err.message : 'unknown error';
			return reportRefused(`The host could not run: ${reason}`, {result: 'failed', reason});
		}
	}
}
