#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {formatFaults, readSettings, parseConfigDocument} from '@egretrill/common';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runDaemon} from './run-daemon.js';

const EXIT_INVALID = 2;

async function readInitialConfig(file: string) {
	const restored = parseConfigDocument(await readFile(file, 'utf8'));
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
	const report = await runDaemon(settings.value, initialConfig);
	console.error(JSON.stringify(report));
	process.exit(report.exitCode);
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
