import {once} from 'node:events';
import {
	mkdtemp, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough} from 'node:stream';
import {createLogger} from '@egretrill/common';
import {verifyEvidence} from '@egretrill/monitor';
import {expect} from 'chai';
import {EvidenceHolder} from '../src/monitor/evidence-holder.js';

const DAMAGED_HASH = 'f'.repeat(64);

/** Replaces the variable parts of messages: hashes and the folder of the test. */
function normalize(value: unknown, folder: string): unknown {
	const text = JSON.stringify(value).replaceAll(folder, 'DATA').replaceAll(/[\da-f]{64}/gv, 'HASH');
	return JSON.parse(text);
}

describe('EvidenceHolder', () => {
	let dataDir = '';
	let file = '';
	let log = new PassThrough();

	beforeEach(async () => {
		dataDir = await mkdtemp(path.join(tmpdir(), 'egretrill-holder-'));
		file = path.join(dataDir, 'evidence', 'evidence.jsonl');
		log = new PassThrough();
	});

	afterEach(async () => {
		await rm(dataDir, {recursive: true});
	});

	async function listFiles(): Promise<readonly string[]> {
		const names = await readdir(path.dirname(file));
		return names.toSorted();
	}

	/** Opens the evidence log like a starting host, appends a record and returns the records of the file. */
	async function start(): Promise<unknown> {
		const holder = new EvidenceHolder({dataDir}, createLogger('test', 'info', log));
		await holder.open();
		await holder.get()?.append({kind: 'promises', counters: []});
		const page = await holder.get()?.readPage(-1, 10);
		await holder.get()?.close();
		return normalize(page?.entries.map(({record}) => record), dataDir);
	}

	// Guards against a host that cannot start because its evidence log is damaged, and against damage that the monitor cannot detect.
	it('renames a damaged file and starts a new one that records the damage', async () => {
		await start();
		const intact = await verifyEvidence(file);
		const earlierHead = intact.intact && intact.head ? intact.head : undefined;
		const lines = await readFile(file, 'utf8');
		const damaged = DAMAGED_HASH + lines.slice(DAMAGED_HASH.length);
		await writeFile(file, damaged);
		const logged = once(log, 'data') as Promise<[Uint8Array]>;
		const records = await start();
		const [line] = await logged;
		const {keptAs, link, msg} = JSON.parse(String(line)) as Record<string, unknown>;
		expect({
			records,
			later: await start(),
			logged: normalize({keptAs, link, msg}, dataDir),
			files: await listFiles(),
			isKeptWhole: await readFile(`${file}.damaged-1`, 'utf8') === damaged,
			kept: normalize(await verifyEvidence(`${file}.damaged-1`), dataDir),
			begun: normalize(await verifyEvidence(file), dataDir),
			forMonitor: normalize(await verifyEvidence(file, earlierHead), dataDir),
		}).toMatchSnapshot();
	});

	// Guards against a host that cannot start after a crash during the rename of a damaged file.
	it('starts when only the head of a damaged file is left', async () => {
		await start();
		await rm(file);
		expect({records: await start(), files: await listFiles()}).toMatchSnapshot();
	});
});
