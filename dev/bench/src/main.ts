#!/usr/bin/env node
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {benches} from './benches.js';

const argv = await yargs(hideBin(process.argv))
	.scriptName('npm run bench --')
	.usage('$0 NAME [--seed N] [--json]')
	.command('$0 <name>', 'Run one measurement against its baseline', command => command
		.positional('name', {choices: Object.keys(benches), demandOption: true, describe: 'What to measure'})
		.option('seed', {type: 'number', default: 7, describe: 'Seed of all random choices'})
		.option('models', {type: 'number', describe: 'Models of the planning round (placement)'})
		.option('accelerators', {type: 'number', describe: 'Accelerators of the planning round (placement)'})
		.option('json', {type: 'boolean', default: false, describe: 'Print only the result as one JSON object'})
		.example('$0 rates --seed 7', 'Largest excess over the rate, and refusals within it')
		.example('$0 placement --models 610 --accelerators 3100', 'Time and memory of one planning round'))
	.strict()
	.parse();
const {name, seed, json, models, accelerators} = argv as unknown as {name: string; seed: number; json: boolean; models?: number; accelerators?: number};
if (!json) {
	console.log(`bench ${name}, seed ${seed}`);
}

const result = await benches[name]?.({seed, ...(models !== undefined && {models}), ...(accelerators !== undefined && {accelerators})});
if (!json) {
	console.dir(result, {depth: 6});
}

// The last line is one JSON object, for scripts.
console.log(JSON.stringify({bench: name, seed, ...result}));
process.exit(0);
