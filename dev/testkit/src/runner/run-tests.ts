import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {availableParallelism} from 'node:os';
import process from 'node:process';
import {listFiles} from './list-files.js';
import {planGroups} from './plan-groups.js';
import {readSummary, type Totals} from './summary.js';

/** Processors for each test process: the fleets in the tests run several processes themselves. */
const PROCESSORS_PER_WORKER = 2;
const MOCHA = 'node_modules/mocha/bin/mocha.js';

type MochaSettings = {readonly spec: readonly string[]; readonly import: readonly string[]; readonly file: readonly string[]; readonly reporter: string; readonly timeout: number};

/** Runs one process with the files; prints its output when it has ended. */
async function runGroup(files: readonly string[], settings: MochaSettings, ports: string): Promise<Totals> {
	const args = [...settings.import.flatMap(name => ['--import', name]), MOCHA, '--no-config', ...settings.file.flatMap(name => ['--file', name]), '--reporter', settings.reporter, '--timeout', String(settings.timeout), '--exit', ...process.argv.slice(2), ...files];
	const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, EGRETRILL_TEST_PORTS: ports}});
	const parts: string[] = [];
	for (const stream of [child.stdout, child.stderr]) {
		stream.setEncoding('utf8').on('data', (text: string) => {
			parts.push(text);
		});
	}

	await once(child, 'close');
	const {text, ...totals} = readSummary(parts.join(''));
	console.log(text);
	if (totals.failed > 0) {
		console.log(`failed: ${files.join(' ')}`);
	}

	return totals;
}

/** Takes one group after the other until none is left. */
async function work(groups: Iterator<readonly string[]>, settings: MochaSettings, ports: string): Promise<Totals> {
	let passed = 0;
	let failed = 0;
	for (let next = groups.next(); !next.done; next = groups.next()) {
		const totals = await runGroup(next.value, settings, ports);
		passed += totals.passed;
		failed += totals.failed;
	}

	return {passed, failed};
}

/** Runs all tests in several processes; resolves with whether some passed and none failed. */
async function runTests(): Promise<boolean> {
	const settings = JSON.parse(await readFile('.mocharc.json', 'utf8')) as MochaSettings;
	const files = await Promise.all(settings.spec.map(async pattern => listFiles(pattern)));
	const groups = planGroups(files.flat()).values();
	const workers = Math.max(1, Math.floor(availableParallelism() / PROCESSORS_PER_WORKER));
	const totals = await Promise.all(Array.from({length: workers}, async (_, i) => work(groups, settings, `${i}/${workers}`)));
	const passed = totals.reduce((sum, part) => sum + part.passed, 0);
	const failed = totals.reduce((sum, part) => sum + part.failed, 0);
	console.log(`${passed} passed, ${failed} failed`);
	return passed > 0 && failed === 0;
}

process.exitCode = await runTests() ? 0 : 1;
