import {
	appendFile, mkdtemp, readFile, rm, truncate, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {NoSpaceError} from '@egretrill/disk';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	EvidenceError, EvidenceLog, FileEvidenceStorage, verifyEvidence, type EvidencePage, type EvidenceRecord,
} from '../src/index.js';

const getWallTime = () => '2026-12-04T08:00:00.000Z';

function createRecord(version: number): EvidenceRecord {
	return {
		kind: 'zone-changed', zone: 'a', state: 'taken-out', version, author: 'line\u2028separator\nand newline',
	};
}

/** Opens a log on storage where every call of one method fails. */
async function openFailingLog(file: string, failingMethod: 'append' | 'writeHead'): Promise<EvidenceLog> {
	const storage = await FileEvidenceStorage.open(file);
	storage[failingMethod] = async () => {
		throw new Error('ENOSPC: no space left on device');
	};

	return EvidenceLog.open({storage, getWallTime});
}

async function getFailure(run: () => Promise<unknown>): Promise<unknown> {
	try {
		await run();
		return 'no failure';
	} catch (err: unknown) {
		return err instanceof EvidenceError ? {message: err.message, cause: (err.cause as Error | undefined)?.message, link: err.link} : err;
	}
}

describe('evidence log', () => {
	let folder = '';
	let file = '';

	async function openLog(): Promise<EvidenceLog> {
		return EvidenceLog.open({storage: await FileEvidenceStorage.open(file), getWallTime});
	}

	async function writeLog(count: number): Promise<readonly string[]> {
		const log = await openLog();
		await Promise.all(Array.from({length: count}, async (_, i) => log.append(createRecord(i))));
		await log.close();
		const text = await readFile(file, 'utf8');
		return text.split(/(?<=\n)/v);
	}

	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'egretrill-evidence-'));
		file = path.join(folder, 'data', 'evidence.log');
	});

	afterEach(async () => {
		await rm(folder, {recursive: true});
	});

	it('writes a chain that anyone can verify and continues it after a restart', async () => {
		await writeLog(2);
		await writeLog(1);
		expect({text: await readFile(file, 'utf8'), verification: await verifyEvidence(file)}).toMatchSnapshot();
	});

	it('reads every record once and in order across entries of the page index', async () => {
		await writeLog(600);
		const log = await openLog();
		const seen: number[] = [];
		for (let after: EvidencePage['next'] = -1; after !== null;) {
			const page = await log.readPage(after, 170);
			seen.push(...page.entries.map(entry => entry.seq));
			after = page.next;
		}

		expect(seen).to.deep.equal(Array.from({length: 600}, (_, i) => i));
		const last = await log.readPage(599, 10);
		expect(last.entries).to.deep.equal([]);
		await log.close();
	});

	it('keeps records of concurrent tasks in one chain and batches syncs, also while an earlier sync is running', async () => {
		const storage = await FileEvidenceStorage.open(file);
		const write = storage.append.bind(storage);
		let syncs = 0;
		storage.append = async text => {
			syncs++;
			await write(text);
		};

		const log = await EvidenceLog.open({storage, getWallTime});
		await Promise.all(Array.from({length: 10}, async (_, task) => {
			for (let i = 0; i < 20; i++) {
				const entry = await log.append(createRecord(task));
				expect(log.getHead()?.seq).to.be.at.least(entry.seq);
			}
		}));
		await log.close();
		expect(await verifyEvidence(file)).to.include({intact: true, records: 200});
		expect(syncs).to.be.below(200);
	});

	it('reports the first broken link of a changed file and refuses to append to it', async () => {
		const lines = await writeLog(4);
		const head = await readFile(`${file}.head`, 'utf8');
		const cases: Readonly<Record<string, () => Promise<void>>> = {
			tampered: async () => writeFile(file, lines.map((line, i) => i === 1 ? line.replace('taken-out', 'in-service') : line).join('')),
			reordered: async () => writeFile(file, [lines[0], lines[2], lines[1], lines[3]].join('')),
			'one record removed': async () => writeFile(file, [lines[0], lines[2], lines[3]].join('')),
			'one record repeated': async () => writeFile(file, [lines[0], lines[0], ...lines.slice(1)].join('')),
			'cut at a record': async () => writeFile(file, lines.slice(0, 3).join('')),
			'cut within a record': async () => truncate(file, lines.join('').length - 10),
			emptied: async () => truncate(file, 0),
			'text inserted': async () => writeFile(file, [lines[0], 'hello\n', ...lines.slice(1)].join('')),
			'damaged head': async () => writeFile(`${file}.head`, 'damaged'),
		};
		const outcomes: Record<string, unknown> = {};
		for (const [name, change] of Object.entries(cases)) {
			await change();
			const verification = await verifyEvidence(file);
			outcomes[name] = verification;
			expect(await getFailure(openLog), name).to.have.property('link').that.deep.equals(verification);
			await writeFile(file, lines.join(''));
			await writeFile(`${file}.head`, head);
		}

		expect(outcomes).toMatchSnapshot();
	});

	it('detects any changed byte', async () => {
		await writeLog(3);
		const original = await readFile(file);
		await fc.assert(fc.asyncProperty(fc.nat(original.length - 1), fc.integer({min: 1, max: 255}), async (position, change) => {
			const changed = Uint8Array.from(original);
			changed[position] = (changed[position]! + change) % 256;
			await writeFile(file, changed);
			const verification = await verifyEvidence(file);
			expect(verification.intact).to.equal(false);
		}), {seed: 20_261_204, numRuns: 500});
	});

	it('detects a rewritten chain with a head that the monitor saved earlier', async () => {
		await writeLog(2);
		const first = await verifyEvidence(file);
		const savedHead = first.intact && first.head ? first.head : undefined;
		await rm(path.dirname(file), {recursive: true});
		const log = await EvidenceLog.open({storage: await FileEvidenceStorage.open(file), getWallTime: () => '2026-12-05T08:00:00.000Z'});
		await log.append(createRecord(0));
		await log.append(createRecord(1));
		expect(await log.verify(savedHead)).to.include({intact: false, line: 2, fault: 'replaced'});
		await log.close();
		expect(await verifyEvidence(file, savedHead)).to.include({intact: false, line: 2, fault: 'replaced'});
		expect(await verifyEvidence(file)).to.include({intact: true, records: 2});
	});

	it('drops and records an incomplete last line that was never acknowledged, as after a crash during a write', async () => {
		await writeLog(2);
		await appendFile(file, '0123456789');
		expect(await verifyEvidence(file)).to.include({intact: true, records: 2, tornBytes: 10});
		const log = await openLog();
		const page = await log.readPage(1, 10);
		expect(page.entries.map(entry => entry.record)).to.deep.equal([{kind: 'tail-dropped', bytes: 10}]);
		await log.close();
		expect(await verifyEvidence(file)).to.include({intact: true, records: 3, tornBytes: 0});
	});

	// Guards against evidence that ends for good because the disk was full for seconds.
	it('refuses records that find no room, with those chained to them, and continues the chain once there is room', async () => {
		await writeLog(1);
		const storage = await FileEvidenceStorage.open(file);
		const append = storage.append.bind(storage);
		const log = await EvidenceLog.open({storage, getWallTime});
		storage.append = async text => {
			await append(text.slice(0, text.length / 2));
			throw new NoSpaceError('The disk has no room.');
		};

		const first = getFailure(async () => log.append(createRecord(1)));
		await nextTurn();
		const failures = [await getFailure(async () => log.append(createRecord(2))), await first];
		expect(failures.map(failure => (failure as {cause?: string}).cause)).to.deep.equal(['The disk had no room.', 'The disk has no room.']);
		storage.append = append;
		await Promise.all([log.append(createRecord(3)), log.append(createRecord(4))]);
		const {entries} = await log.readPage(-1, 10);
		expect(entries.map(({record}) => 'version' in record && record.version)).to.deep.equal([0, 3, 4]);
		await log.close();
		expect(await verifyEvidence(file)).to.include({intact: true, records: 3, tornBytes: 0});
	});

	// Guards against a log that goes on although a part of a refused record may be in its file.
	it('accepts no more records if it cannot cut off what a full disk has taken', async () => {
		await writeLog(1);
		const storage = await FileEvidenceStorage.open(file);
		const log = await EvidenceLog.open({storage, getWallTime});
		storage.append = async () => {
			throw new NoSpaceError('The disk has no room.');
		};

		storage.truncate = async () => {
			throw new Error('EIO: i/o error, ftruncate');
		};

		await getFailure(async () => log.append(createRecord(1)));
		expect(log.getFailure()).to.equal('EIO: i/o error, ftruncate');
		await log.close();
	});

	it('acknowledges nothing after a disk error and shows no record that is not durable', async () => {
		await writeLog(1);
		for (const failingMethod of ['append', 'writeHead'] as const) {
			const log = await openFailingLog(file, failingMethod);
			const append = async (version: number) => getFailure(async () => log.append(createRecord(version)));
			const failures = [...await Promise.all([append(1), append(2)]), await append(3)];
			const page = await log.readPage(-1, 10);
			expect({
				failures, failure: log.getFailure(), shown: page.entries.length, verification: await log.verify(),
			}).toMatchSnapshot(failingMethod);
			await log.close();
		}
	});
});
