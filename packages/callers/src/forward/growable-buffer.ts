import {Buffer} from 'node:buffer';

const EMPTY = Buffer.alloc(0);

/** Bytes that arrive in pieces and are held in one block; the work is in proportion to the bytes, however small the pieces are. */
export class GrowableBuffer {
	// The bytes are joined with operations that only Buffer has.
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	private block: Buffer = EMPTY;
	private used = 0;

	get length(): number {
		return this.used;
	}

	append(chunk: Uint8Array): void {
		const length = this.used + chunk.length;
		if (length > this.block.length) {
			const larger = Buffer.allocUnsafe(Math.max(length, 2 * this.used));
			larger.set(this.getBytes());
			this.block = larger;
		}

		this.block.set(chunk, this.used);
		this.used = length;
	}

	/** What is held now; later pieces do not change it. */
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	getBytes(): Buffer {
		return this.block.subarray(0, this.used);
	}

	/** Drops bytes at the beginning; what was given out before stays as it is. */
	dropStart(length: number): void {
		this.block = Buffer.from(this.block.subarray(length, this.used));
		this.used = this.block.length;
	}
}
