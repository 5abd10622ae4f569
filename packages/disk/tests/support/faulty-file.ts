import {AppendFile} from '../../src/index.js';
import {createFullDiskError, createSystemError, type Fault} from './faulty-file-system.js';

function getWriteError(fault: Fault): Error | undefined {
	switch (fault) {
		case 'write': {
			return createSystemError('EIO', 'i/o error, write');
		}

		case 'quota': {
			return createSystemError('EDQUOT', 'disk quota exceeded');
		}

		case 'full':
		case 'full-truncate':
		case 'full-cut-sync': {
			return createFullDiskError();
		}

		default: {
			return undefined;
		}
	}
}

/** A file whose operations fail by the fault of its disk. */
export class FaultyFile extends AppendFile {
	constructor(private readonly file: AppendFile, private readonly disk: {readonly fault: Fault}) {
		super();
	}

	async append(bytes: Uint8Array): Promise<void> {
		const err = getWriteError(this.disk.fault);
		await this.file.append(err ? bytes.subarray(0, bytes.length / 2) : bytes);
		if (err) {
			throw err;
		}
	}

	async truncate(length: number): Promise<void> {
		if (this.disk.fault === 'full-truncate') {
			throw createFullDiskError();
		}

		await this.file.truncate(length);
	}

	async sync(): Promise<void> {
		const {fault} = this.disk;
		if (fault === 'full-sync' || fault === 'full-cut-sync') {
			throw createFullDiskError();
		}

		if (fault === 'sync') {
			throw createSystemError('EIO', 'i/o error, fsync');
		}

		await this.file.sync();
	}

	async close(): Promise<void> {
		await this.file.close();
	}
}
