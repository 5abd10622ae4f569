import {Buffer} from 'node:buffer';
import type {MemoryHolding} from '@egretrill/common';

const EMPTY = Buffer.alloc(0);

/** Byte buffer that doubles its capacity as needed, so that appending takes amortized linear time however small the chunks are; its capacity counts as held. */
export class GrowableBuffer {
	// Uint8Array lacks the operations that join the bytes.
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	private block: Buffer = EMPTY;
	private used = 0;

	/** The capacity stays within `maxBytes` as long as the content does. */
	constructor(private readonly holding: MemoryHolding, private readonly maxBytes: number) {}

	get length(): number {
		return this.used;
	}

	/** Returns false, and changes nothing, if there is no room in memory. */
	append(chunk: Uint8Array): boolean {
		const length = this.used + chunk.length;
		const capacity = length > this.block.length ? Math.max(length, Math.min(2 * this.used, this.maxBytes)) : this.block.length;
		// Where there is no room for twice the content, there may still be for the content alone.
		if (!this.reserve(capacity) && !this.reserve(Math.max(length, this.block.length))) {
			return false;
		}

		this.block.set(chunk, this.used);
		this.used = length;
		return true;
	}

	/** The current content; later appends do not change it. */
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	getBytes(): Buffer {
		return this.block.subarray(0, this.used);
	}

	/** Removes bytes from the start; results of earlier `getBytes` calls stay unchanged. */
	dropStart(length: number): void {
		const capacity = this.block.length;
		this.block = Buffer.from(this.block.subarray(length, this.used));
		this.used = this.block.length;
		this.holding.shrink(capacity - this.used);
	}

	/** Returns whether there is room for the capacity. */
	private reserve(capacity: number): boolean {
		if (!this.holding.grow(capacity - this.block.length)) {
			return false;
		}

		if (capacity > this.block.length) {
			const larger = Buffer.allocUnsafe(capacity);
			larger.set(this.getBytes());
			this.block = larger;
		}

		return true;
	}
}
