import {FileLogStorage} from './file-log-storage.js';
import {MemoryFileSystem} from './memory-file-system.js';

/** In-memory log storage for tests and tools; it runs the same code as file storage. */
export class MemoryLogStorage extends FileLogStorage {
	constructor(fileSystem = new MemoryFileSystem()) {
		super({folder: '/memory', fileSystem});
	}
}
