import {Buffer} from 'node:buffer';
import {
	type FileHandle, mkdtemp, open, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createRandom} from '@egretrill/common';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	CorruptionError, FileLogStorage, MemoryFileSystem, MemoryLogStorage, NodeFileSystem, SnapshotStore, StorageFailedError,
} from '../src/index.js';
import {FaultyFileSystem} from './support/faulty-file-system.js';
import {
	catchError, createEntries, describeLog, folder, reopen,
} from './support/logs.js';

const SEED = 7;
/** Zeros at the end of a file by which a missing write is recognised. */
const MIN_ZEROS = 8;
const LARGE_BATCH_BYTES = 1_500_000;
const LOG_FILE = '/memory/log';

/** Creates a file system with the given bytes in one file, as found on startup. */
async function storeFile(name: string, bytes: Uint8Array): Promise<MemoryFileSystem> {
	const fileSystem = new MemoryFileSystem();
	const file = await fileSystem.openFile(`${folder}/${name}`);
	await file.append(bytes);
	return fileSystem;
}

async function storeLog(bytes: Uint8Array): Promise<MemoryFileSystem> {
	return storeFile('log', bytes);
}

async function writeLog(fileSystem: MemoryFileSystem, count: number): Promise<Uint8Array> {
	const storage = new MemoryLogStorage(fileSystem);
	await storage.open();
	await storage.append(createEntries(1, count));
	return await fileSystem.readFile(LOG_FILE) ?? new Uint8Array();
}

describe('log storage', () => {
	it('restores appends, truncation, compaction, hard state and identity after a restart in a real folder', async () => {
		const realFolder = await mkdtemp(path.join(tmpdir(), 'egretrill-disk-'));
		try {
			const storage = new FileLogStorage({folder: realFolder, fileSystem: new NodeFileSystem()});
			await storage.open();
			await storage.saveIdentity({memberId: 'a', identity: 'first'});
			await storage.saveHardState({term: 3, votedFor: 'a'});
			await storage.append(createEntries(1, 6));
			await storage.truncateFrom(5);
			await storage.append(createEntries(5, 1, 2));
			await storage.compact({index: 2, term: 1});
			await storage.append(createEntries(6, 1, 3));
			await storage.close();
			const reopened = new FileLogStorage({folder: realFolder});
			await reopened.open();
			expect([describeLog(reopened), await reopened.loadHardState(), await reopened.loadIdentity()]).toMatchSnapshot();
			await reopened.close();
		} finally {
			await rm(realFolder, {recursive: true});
		}
	});

	it('truncates a torn tail and appends after the last complete record', async () => {
		const bytes = await writeLog(new MemoryFileSystem(), 3);
		const {length: completeBytes} = await writeLog(new MemoryFileSystem(), 2);
		for (const tail of [bytes.subarray(0, -5), Buffer.concat([bytes.subarray(0, completeBytes), Buffer.alloc(700)])]) {
			const fileSystem = await storeLog(tail);
			const storage = await reopen(fileSystem);
			await storage.append(createEntries(3, 1, 2));
			expect(describeLog(await reopen(fileSystem))).toMatchSnapshot();
		}
	});

	// Guards against several members that lose their logs at once because a loss of power left zeros where their last write was.
	it('truncates a last write of which only the beginning was stored, wherever the zeros begin', async () => {
		const bytes = await writeLog(new MemoryFileSystem(), 4);
		const {length: completeBytes} = await writeLog(new MemoryFileSystem(), 2);
		const {length: thirdBytes} = await writeLog(new MemoryFileSystem(), 3);
		for (let cut = completeBytes; cut <= bytes.length - MIN_ZEROS; cut++) {
			const torn = Buffer.concat([bytes.subarray(0, cut), Buffer.alloc(bytes.length - cut)]);
			const storage = await reopen(await storeLog(torn));
			expect(storage.getLastIndex(), `zeros from byte ${cut}`).to.equal(cut < thirdBytes ? 2 : 3);
		}
	});

	it('reports corruption for any single flipped bit instead of dropping or changing an acknowledged entry', async () => {
		const bytes = await writeLog(new MemoryFileSystem(), 3);
		for (let bit = 0; bit < bytes.length * 8; bit++) {
			const flipped = Uint8Array.from(bytes);
			flipped[bit >> 3] = (flipped[bit >> 3] ?? 0) ^ (1 << (bit & 7)); // eslint-disable-line no-bitwise
			expect(await catchError(reopen(await storeLog(flipped))), `bit ${bit}`).to.be.instanceOf(CorruptionError);
		}
	});

	it('reads a prefix of the log or throws a CorruptionError for any damaged bytes', async () => {
		const bytes = await writeLog(new MemoryFileSystem(), 4);
		const originalLog = await reopen(await storeLog(bytes));
		const original = originalLog.read(1, 4);
		const damage = fc.record({cut: fc.nat(bytes.length), at: fc.nat(bytes.length), patch: fc.uint8Array({maxLength: 24})});
		await fc.assert(fc.asyncProperty(damage, async ({cut, at, patch}) => {
			const damaged = Buffer.concat([bytes.subarray(0, at), patch, bytes.subarray(at + patch.length)]).subarray(0, cut);
			try {
				const storage = await reopen(await storeLog(damaged));
				const read = storage.read(1, storage.getLastIndex());
				expect(read).to.deep.equal(original.slice(0, read.length));
			} catch (err: unknown) {
				if (!(err instanceof CorruptionError)) {
					throw err;
				}
			}
		}), {seed: SEED, numRuns: 500});
	});

	for (const fault of ['sync', 'write'] as const) {
		it(`rejects all later writes after a failed write (${fault}), so that a later sync does not appear successful`, async () => {
			const fileSystem = new FaultyFileSystem();
			const storage = new FileLogStorage({folder, fileSystem});
			await storage.open();
			await storage.append(createEntries(1, 2));
			fileSystem.fault = fault;
			expect(await catchError(storage.append(createEntries(3, 1)))).to.be.instanceOf(StorageFailedError);
			fileSystem.fault = undefined;
			expect(await catchError(storage.append(createEntries(3, 1)))).to.be.instanceOf(StorageFailedError);
			expect(await catchError(storage.saveHardState({term: 1, votedFor: null}))).to.be.instanceOf(StorageFailedError);
			fileSystem.crash(createRandom(SEED));
			expect(describeLog(await reopen(fileSystem))).toMatchSnapshot();
		});
	}

	it('keeps all synced entries after a crash, wherever the unsynced write is torn', async () => {
		for (let seed = 0; seed < 50; seed++) {
			const fileSystem = new FaultyFileSystem();
			const storage = await reopen(fileSystem);
			await storage.append(createEntries(1, 2));
			fileSystem.fault = 'sync';
			await catchError(storage.append(createEntries(3, 3)));
			fileSystem.fault = undefined;
			fileSystem.crash(createRandom(seed));
			const restarted = await reopen(fileSystem);
			const entries = restarted.read(1, 5);
			expect(entries.map(entry => entry.index), `seed ${seed}`).to.deep.equal([1, 2, 3, 4, 5].slice(0, entries.length));
			expect(entries.length, `seed ${seed}`).to.be.at.least(2);
		}
	});

	// Guards against a member that is killed before its sync ends, acknowledges the entry after its restart, and loses it with the power.
	it('syncs what a killed process left unsynced before a restarted one reports it', async () => {
		const fileSystem = new FaultyFileSystem();
		const storage = await reopen(fileSystem);
		await storage.append(createEntries(1, 2));
		await storage.saveIdentity({memberId: 'a', identity: 'first'});
		fileSystem.fault = 'sync';
		await catchError(storage.append(createEntries(3, 1)));
		fileSystem.fault = undefined;
		const restarted = await reopen(fileSystem);
		fileSystem.crash(createRandom(SEED));
		const recovered = await reopen(fileSystem);
		expect([restarted.getLastIndex(), recovered.getLastIndex()]).to.deep.equal([3, 3]);
	});

	// Guards against a member whose identity or term of before a kill is gone after a later loss of power.
	it('syncs the names of files that a killed process replaced before a restarted one reads them', async () => {
		const fileSystem = new FaultyFileSystem();
		const storage = await reopen(fileSystem);
		fileSystem.fault = 'folder-sync';
		await catchError(storage.saveIdentity({memberId: 'a', identity: 'first'}));
		fileSystem.fault = undefined;
		const restarted = await reopen(fileSystem);
		const identity = await restarted.loadIdentity();
		fileSystem.crash(createRandom(SEED));
		const recovered = await reopen(fileSystem);
		expect([identity, await recovered.loadIdentity()]).to.deep.equal([{memberId: 'a', identity: 'first'}, {memberId: 'a', identity: 'first'}]);
	});

	it('rejects a log whose hard state is missing, since the member could vote twice in a term', async () => {
		const fileSystem = new MemoryFileSystem();
		await writeLog(fileSystem, 2);
		const storage = await reopen(fileSystem);
		expect(await catchError(storage.loadHardState())).to.be.instanceOf(CorruptionError);
	});

	it('quarantines damaged files and starts without an identity', async () => {
		const fileSystem = new MemoryFileSystem();
		const bytes = await writeLog(fileSystem, 2);
		const storage = await reopen(fileSystem);
		await storage.saveIdentity({memberId: 'a', identity: 'first'});
		await storage.quarantine();
		expect([describeLog(storage), await storage.loadIdentity()]).toMatchSnapshot();
		expect(await fileSystem.readFile(`${LOG_FILE}.damaged`)).to.deep.equal(bytes);
	});
});

describe('file system of the operating system', () => {
	// Guards against a torn write with a hole in it: after a loss of power each of several writes may be present or missing.
	it('appends a large batch in one write', async () => {
		const realFolder = await mkdtemp(path.join(tmpdir(), 'egretrill-disk-'));
		const file = path.join(realFolder, 'log');
		const handle = await open(file, 'a');
		const prototype = Object.getPrototypeOf(handle) as FileHandle;
		const {write} = prototype;
		const lengths: number[] = [];
		prototype.write = async function (this: FileHandle, ...args: Parameters<typeof write>) {
			const result = await write.apply(this, args);
			lengths.push(result.bytesWritten);
			return result;
		} as typeof write;
		try {
			const opened = await new NodeFileSystem().openFile(file);
			await opened.append(Buffer.alloc(LARGE_BATCH_BYTES, 1));
			await opened.close();
			const {size} = await handle.stat();
			expect([lengths, size]).to.deep.equal([[LARGE_BATCH_BYTES], LARGE_BATCH_BYTES]);
		} finally {
			prototype.write = write;
			await handle.close();
			await rm(realFolder, {recursive: true});
		}
	});
});

describe('snapshot store', () => {
	const snapshot = {
		index: 9, term: 2, members: Buffer.from('members'), data: Buffer.from('state'),
	};

	it('keeps the previous snapshot when a new one cannot be synced', async () => {
		const fileSystem = new FaultyFileSystem();
		const store = new SnapshotStore({folder, fileSystem});
		await store.save(snapshot);
		fileSystem.fault = 'sync';
		expect(await catchError(store.save({...snapshot, index: 12}))).to.be.instanceOf(StorageFailedError);
		fileSystem.crash(createRandom(SEED));
		expect(await store.load()).to.deep.equal(snapshot);
	});

	it('throws a CorruptionError for damaged bytes and never returns a different state', async () => {
		const fileSystem = new MemoryFileSystem();
		await new SnapshotStore({folder, fileSystem}).save(snapshot);
		const bytes = await fileSystem.readFile('/memory/snapshot') ?? new Uint8Array();
		await fc.assert(fc.asyncProperty(fc.nat(bytes.length), fc.uint8Array({maxLength: 16}), async (at, patch) => {
			const damaged = Buffer.concat([bytes.subarray(0, at), patch]);
			const error = await catchError(new SnapshotStore({folder, fileSystem: await storeFile('snapshot', damaged)}).load());
			expect(damaged.equals(bytes) || error instanceof CorruptionError).to.equal(true);
		}), {seed: SEED, numRuns: 300});
	});
});
