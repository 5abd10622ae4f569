#!/usr/bin/env node
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {createReport} from './report.js';
import {runSoak, type SoakResult} from './run-soak.js';

function toLines(values: readonly unknown[]): string {
	return values.map(value => `${JSON.stringify(value)}\n`).join('');
}

/** Writes what was recorded and the logs of the entry hosts as JSON lines. */
async function saveResult({calls, runs, steps, logs}: SoakResult, dir: string): Promise<void> {
	await mkdir(dir, {recursive: true});
	const files = {
		calls, runs, steps, ...Object.fromEntries(logs.map((lines, host) => [`entry-${host}`, lines])),
	};
	await Promise.all(Object.entries(files).map(async ([name, values]) => writeFile(path.join(dir, `${name}.jsonl`), toLines(values))));
}

const argv = await yargs(hideBin(process.argv))
	.scriptName('npm run soak --')
	.usage('$0 --seed N [--count C] [--seconds S] [--entries E] [--callers K] [--keep DIR] [--program FILE]')
	.option('seed', {type: 'number', demandOption: true, describe: 'First seed of the planned work and of the callers'})
	.option('count', {type: 'number', default: 1, describe: 'Number of seeds to run one after the other'})
	.option('seconds', {type: 'number', default: 30, describe: 'Time for which planned work is done'})
	.option('entries', {type: 'number', default: 4, describe: 'Entry hosts'})
	.option('callers', {type: 'number', default: 200, describe: 'Callers'})
	.option('keep', {type: 'string', describe: 'Directory that receives the records and logs of runs with a violation'})
	.option('program', {type: 'string', describe: 'Program to run in place of the current build'})
	.strict()
	.parse();
let failed = 0;
for (let {seed} = argv; seed < argv.seed + argv.count; seed++) {
	const {seconds, entries, callers, keep, program} = argv;
	const result = await runSoak({
		seed, seconds, entries, callers, ...(program !== undefined && {programFile: path.resolve(program)}),
	});
	const {lines, violations} = createReport(result);
	console.log([`seed ${seed}: ${violations.length} violations`, ...lines].join('\n  '));
	if (violations.length > 0) {
		failed += 1;
		if (keep !== undefined) {
			await saveResult(result, path.join(keep, `seed-${seed}`));
		}
	}
}

console.log(`${argv.count} runs, ${failed} with violations`);
process.exit(failed > 0 ? 1 : 0);
