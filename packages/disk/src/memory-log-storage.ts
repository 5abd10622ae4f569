import {FileLogStorage} from './file-log-storage.js';
import {MemoryFileSystem} from './memory-file-system.js';

/** Log storage without a disk, for tests and tools; it runs the same code as files do. */
export class MemoryLogStorage extends FileLogStorage {
	constructor(fileSystem = new MemoryFileSystem()) {
		super({folder: '/memory', fileSystem});
	}
}
