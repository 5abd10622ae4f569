import {Buffer} from 'node:buffer';
import {mkdtemp, readdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createRandom} from '@egretrill/common';
import {expect} from 'chai';
import {
	AppendFile, FileLogStorage, NodeFileSystem, NoSpaceError, SnapshotStore, StorageFailedError,
} from '../src/index.js';
import {type Fault, FaultyFileSystem} from './support/faulty-file-system.js';
import {
	catchError, createEntries, describeLog, folder, reopen,
} from './support/logs.js';

const SEED = 7;
const NAMES = ['log', 'hard-state', 'identity', 'snapshot'];
const FULL_DISKS = ['full', 'quota', 'no-inode', 'no-name'] as const;

type Disk = {readonly storage: FileLogStorage; readonly snapshots: SnapshotStore};

/** Writes that take room, each on a log with entries 1 to 4. */
const WRITES: Readonly<Record<string, (disk: Disk) => Promise<void>>> = {
	'a batch of entries': async ({storage}) => storage.append(createEntries(5, 3)),
	'a term and vote': async ({storage}) => storage.saveHardState({term: 9, votedFor: 'b'}),
	'an identity': async ({storage}) => storage.saveIdentity({memberId: 'a', identity: 'second'}),
	'a compaction': async ({storage}) => storage.compact({index: 2, term: 1}),
	'a snapshot': async ({snapshots}) => snapshots.save({
		index: 4, term: 1, members: Buffer.from('members'), data: Buffer.from('state 4'),
	}),
};

async function createDisk(fileSystem: FaultyFileSystem): Promise<Disk> {
	const storage = await reopen(fileSystem);
	const snapshots = new SnapshotStore({folder, fileSystem});
	await storage.append(createEntries(1, 4));
	await storage.saveHardState({term: 3, votedFor: 'a'});
	await storage.saveIdentity({memberId: 'a', identity: 'first'});
	await snapshots.save({
		index: 1, term: 1, members: Buffer.from('members'), data: Buffer.from('state 1'),
	});
	return {storage, snapshots};
}

async function readFiles(fileSystem: FaultyFileSystem): Promise<unknown> {
	const names = NAMES.flatMap(name => [name, `${name}.tmp`]);
	return Promise.all(names.map(async name => [name, await fileSystem.readFile(`${folder}/${name}`)]));
}

/** An append to the log creates no file, so it fails only when its bytes find no room. */
function isAffected(name: string, fault: Fault): boolean {
	return name !== 'a batch of entries' || fault === 'full' || fault === 'quota';
}

describe('a full disk', () => {
	for (const [name, write] of Object.entries(WRITES)) {
		for (const fault of FULL_DISKS.filter(other => isAffected(name, other))) {
			// Guards against a member that ends because its disk was full for seconds, although nothing that it had stored was in doubt.
			it(`refuses ${name} (${fault}), keeps what was stored, and takes the write once it has room`, async () => {
				const fileSystem = new FaultyFileSystem();
				const disk = await createDisk(fileSystem);
				const before = await readFiles(fileSystem);
				fileSystem.fault = fault;
				const errors = [await catchError(write(disk)), await catchError(write(disk))];
				expect(errors.map(err => err?.name)).to.deep.equal(['NoSpaceError', 'NoSpaceError']);
				expect(await readFiles(fileSystem)).to.deep.equal(before);
				fileSystem.fault = undefined;
				await write(disk);
				const after = await readFiles(fileSystem);
				expect(after).not.to.deep.equal(before);
				fileSystem.crash(createRandom(SEED));
				expect(await readFiles(fileSystem)).to.deep.equal(after);
			});
		}
	}

	// Guards against a log that goes on although nobody knows what its file holds.
	for (const fault of ['full-truncate', 'full-cut-sync', 'full-sync'] as const) {
		it(`ends the storage when the part that was written cannot be cut off, or a sync fails (${fault})`, async () => {
			const fileSystem = new FaultyFileSystem();
			const {storage} = await createDisk(fileSystem);
			fileSystem.fault = fault;
			expect(await catchError(storage.append(createEntries(5, 3)))).to.be.instanceOf(StorageFailedError);
			fileSystem.fault = undefined;
			expect(await catchError(storage.append(createEntries(5, 3)))).to.be.instanceOf(StorageFailedError);
		});
	}

	// Guards against entries of a batch that come back after a loss of power although they were refused.
	it('keeps no part of a refused batch after a loss of power', async () => {
		for (let seed = 0; seed < 20; seed++) {
			const fileSystem = new FaultyFileSystem();
			const {storage} = await createDisk(fileSystem);
			fileSystem.fault = 'full';
			await catchError(storage.append(createEntries(5, 8)));
			fileSystem.crash(createRandom(seed));
			const restarted = await reopen(fileSystem);
			expect(restarted.getLastIndex(), `seed ${seed}`).to.equal(4);
		}
	});

	// Guards against a log that has lost its open file when the disk was full during a compaction.
	it('takes entries after a compaction that found no room', async () => {
		const fileSystem = new FaultyFileSystem();
		const {storage} = await createDisk(fileSystem);
		fileSystem.fault = 'full';
		await catchError(storage.compact({index: 2, term: 1}));
		fileSystem.fault = undefined;
		await storage.append(createEntries(5, 1));
		expect(describeLog(await reopen(fileSystem))).to.deep.equal(describeLog(storage));
		expect([storage.getBase().index, storage.getLastIndex()]).to.deep.equal([0, 5]);
	});

	it('opens a log without taking room', async () => {
		const fileSystem = new FaultyFileSystem();
		await createDisk(fileSystem);
		fileSystem.fault = 'full';
		const storage = await reopen(fileSystem);
		expect(storage.getLastIndex()).to.equal(4);
	});

	for (const fault of FULL_DISKS) {
		it(`refuses to open in an empty folder (${fault}), and opens once it has room`, async () => {
			const fileSystem = new FaultyFileSystem();
			const storage = new FileLogStorage({folder, fileSystem});
			fileSystem.fault = fault;
			expect(await catchError(storage.open())).to.be.instanceOf(NoSpaceError);
			fileSystem.fault = undefined;
			await storage.open();
			await storage.append(createEntries(1, 1));
			expect(storage.getLastIndex()).to.equal(1);
		});
	}

	// Guards against files that no later write replaces, such as a snapshot.tmp that fills the disk after each restart.
	it('is freed of temporary files of an earlier process when the log is opened', async () => {
		const fileSystem = new FaultyFileSystem();
		await createDisk(fileSystem);
		const before = await readFiles(fileSystem);
		for (const name of NAMES) {
			const file = await fileSystem.openFile(`${folder}/${name}.tmp`);
			await file.append(Buffer.from('unfinished'));
		}

		await reopen(fileSystem);
		expect(await readFiles(fileSystem)).to.deep.equal(before);
	});
});

/** Writes half of the bytes and then to a device that is always full, so that the error is one of the operating system. */
class FullFile extends AppendFile {
	constructor(private readonly file: AppendFile) {
		super();
	}

	async append(bytes: Uint8Array): Promise<void> {
		await this.file.append(bytes.subarray(0, bytes.length / 2));
		const device = await new NodeFileSystem().openFile('/dev/full');
		try {
			await device.append(bytes);
		} finally {
			await device.close();
		}
	}

	async truncate(length: number): Promise<void> {
		await this.file.truncate(length);
	}

	async sync(): Promise<void> {
		await this.file.sync();
	}

	async close(): Promise<void> {
		await this.file.close();
	}
}

/** Files of the operating system on a disk that can be full. */
class FullableFileSystem extends NodeFileSystem {
	isFull = false;

	override async openFile(file: string): Promise<AppendFile> {
		const opened = await super.openFile(file);
		const full = new FullFile(opened);
		return new Proxy(opened, {
			get: (_target, name) => {
				const source = this.isFull && name === 'append' ? full : opened;
				const value: unknown = Reflect.get(source, name);
				return typeof value === 'function' ? value.bind(source) as unknown : value;
			},
		});
	}
}

describe('a full disk of the operating system', () => {
	// Guards against a full disk that is recognised in tests only, since the system reports it in another form.
	it('is recognised by the error of the system', async () => {
		const realFolder = await mkdtemp(path.join(tmpdir(), 'egretrill-full-'));
		try {
			const fileSystem = new FullableFileSystem();
			const storage = new FileLogStorage({folder: realFolder, fileSystem});
			await storage.open();
			await storage.append(createEntries(1, 2));
			fileSystem.isFull = true;
			const errors = [await catchError(storage.append(createEntries(3, 3))), await catchError(storage.saveHardState({term: 1, votedFor: 'a'}))];
			expect(errors.map(err => [err?.name, (err?.cause as NodeJS.ErrnoException).code])).to.deep.equal([['NoSpaceError', 'ENOSPC'], ['NoSpaceError', 'ENOSPC']]);
			fileSystem.isFull = false;
			await storage.append(createEntries(3, 1, 2));
			await storage.close();
			const reopened = await reopen(new NodeFileSystem(), realFolder);
			expect([reopened.getTerm(3), reopened.getLastIndex(), await readdir(realFolder)]).to.deep.equal([2, 3, ['log']]);
			await reopened.close();
		} finally {
			await rm(realFolder, {recursive: true});
		}
	});
});
