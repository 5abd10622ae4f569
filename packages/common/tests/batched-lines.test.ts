import {execFile} from 'node:child_process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import process from 'node:process';
import {Writable} from 'node:stream';
import {promisify} from 'node:util';
import {expect} from 'chai';
import {createLogger} from '@egretrill/common';

const execFileAsync = promisify(execFile);

/** A program that logs and exits within the same event loop iteration. */
const exitingProgram = `
	import process from 'node:process';
	import {createLogger} from '@egretrill/common';
	const logger = createLogger('exiting', 'info');
	logger.info('First line.');
	logger.info('Last line.');
	process.exit(0);
`;

describe('log lines of one event loop iteration', () => {
	it('are written together and in order, since each write to a pipe blocks the process', async () => {
		const writes: string[][] = [];
		const sink = new Writable({
			write(chunk, _encoding, done) {
				writes.push(String(chunk).trimEnd().split('\n').map(line => (JSON.parse(line) as {msg: string}).msg));
				done();
			},
		});
		const logger = createLogger('test', 'info', sink);
		logger.info('First of turn 1.');
		logger.child({component: 'callers'}).info('Second of turn 1.');
		await nextTurn();
		logger.info('First of turn 2.');
		await nextTurn();
		expect(writes).toMatchSnapshot();
	});

	it('are not lost when the process exits within the iteration', async () => {
		const {stdout} = await execFileAsync(process.execPath, ['--input-type=module', '--eval', exitingProgram]);
		expect(stdout.trimEnd().split('\n').map(line => (JSON.parse(line) as {msg: string}).msg)).toMatchSnapshot();
	});
});
