#!/usr/bin/env node
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {checkHistory} from './checks/index.js';
import {type Recording, recordHistory} from './recorder/record-history.js';
import {createReport} from './report.js';

function toLines(values: readonly unknown[]): string {
	return values.map(value => `${JSON.stringify(value)}\n`).join('');
}

/** Writes the history and the logs of all daemons as JSON lines. */
async function saveRecording({history, logs}: Recording, dir: string): Promise<void> {
	await mkdir(dir, {recursive: true});
	await writeFile(path.join(dir, 'history.jsonl'), toLines(history.events));
	await Promise.all([...logs].map(async ([host, lines]) => writeFile(path.join(dir, `${host}.jsonl`), toLines(lines))));
}

const argv = await yargs(hideBin(process.argv))
	.scriptName('npm run history --')
	.usage('$0 --seed N [--seconds S] [--keep DIR]')
	.option('seed', {type: 'number', demandOption: true, describe: 'Seed of the fault plan and of the callers\' and operators\' choices'})
	.option('seconds', {type: 'number', default: 20, describe: 'Time for which faults are injected'})
	.option('keep', {type: 'string', describe: 'Directory that receives the history and the daemons\' logs'})
	.strict()
	.parse();
const recording = await recordHistory({seed: argv.seed, seconds: argv.seconds});
if (argv.keep !== undefined) {
	await saveRecording(recording, argv.keep);
}

const {lines, hasPassed} = createReport(recording.history, checkHistory(recording.history), argv.seconds);
console.log(lines.join('\n'));
process.exit(hasPassed ? 0 : 1);
