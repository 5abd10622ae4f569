#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {formatFaults, readSettings, restoreConfigDocument} from '@egretrill/common';
import {createBlockHasher} from '@egretrill/engines';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {createContainer} from './container.js';
import {Daemon} from './daemon.js';
import {readPeerCredentials} from './hosts/peer-credentials.js';

const EXIT_INVALID = 2;

async function readInitialConfig(file: string) {
	const restored = restoreConfigDocument(await readFile(file, 'utf8'));
	if (restored.isErr) {
		console.error(formatFaults(file, restored.error));
		process.exit(EXIT_INVALID);
	}

	return restored.value;
}

async function run(settingsFile: string, configFile: string | undefined): Promise<void> {
	const settings = await readSettings(settingsFile);
	if (settings.isErr) {
		console.error(formatFaults(settingsFile, settings.error));
		process.exit(EXIT_INVALID);
	}

	const initialConfig = configFile === undefined ? undefined : await readInitialConfig(configFile);
	const credentials = await readPeerCredentials(settings.value);
	const container = createContainer({settings: settings.value, credentials, hash: await createBlockHasher()});
	const daemon = new Daemon(container, credentials);
	await daemon.start(initialConfig);
	const stop = async (signal: string): Promise<void> => {
		const report = await daemon.stop(signal);
		console.error(JSON.stringify(report));
		process.exit(report.outcome === 'complete' ? 0 : 1);
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	daemon.drainRequested.addEventListener('abort', async () => stop('operator'));
}

const argv = await yargs(hideBin(process.argv))
	.scriptName('egretrilld')
	.usage('$0 --settings FILE')
	.option('settings', {type: 'string', demandOption: true, describe: 'Settings of this host (YAML)'})
	.option('initial-config', {type: 'string', describe: 'Configuration document to apply if the fleet has none yet (YAML)'})
	.example('$0 --settings host-a1.yaml', 'Start one host of the fleet')
	.strict()
	.parse();
await run(argv.settings, argv.initialConfig);
