import {Buffer} from 'node:buffer';

const LINE_END = '\r\n';
const HEX = 16;

/** Ends a body in chunked encoding. */
export const LAST_CHUNK = `0${LINE_END}${LINE_END}`;

/** Encodes bytes as one chunk in one buffer. Node writes the size, the bytes and the end of a chunk separately, which costs more than the copy. */
export function frameChunk(bytes: Uint8Array): Uint8Array {
	const size = bytes.length.toString(HEX) + LINE_END;
	const frame = Buffer.allocUnsafe(size.length + bytes.length + LINE_END.length);
	frame.write(size, 'latin1');
	frame.set(bytes, size.length);
	frame.write(LINE_END, size.length + bytes.length, 'latin1');
	return frame;
}
