import {Buffer} from 'node:buffer';

const EMPTY = Buffer.alloc(0);

/** Byte buffer that doubles its capacity as needed, so that appending takes amortized linear time however small the chunks are. */
export class GrowableBuffer {
	// Uint8Array lacks the operations that join the bytes.
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

	/** The current content; later appends do not change it. */
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	getBytes(): Buffer {
		return this.block.subarray(0, this.used);
	}

	/** Removes bytes from the start; results of earlier `getBytes` calls stay unchanged. */
	dropStart(length: number): void {
		this.block = Buffer.from(this.block.subarray(length, this.used));
		this.used = this.block.length;
	}
}
