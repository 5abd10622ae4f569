import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import type {Codec} from '@egretrill/common';
import {MIN_MISSING_BYTES, RECORD_HEADER_BYTES} from './constants.js';
import {CorruptionError} from './errors.js';

/** A decoded record and the offset of the first byte after it. */
export type StoredRecord<T> = {readonly value: T; readonly endOffset: number};

/** Encodes a value as a MessagePack body that is preceded by a header with its length and checksums. */
export function encodeRecord<T>(codec: Codec<T>, value: T): Uint8Array {
	const body = codec.encode(value);
	const record = Buffer.alloc(RECORD_HEADER_BYTES + body.length);
	record.writeUInt32LE(body.length, 0);
	record.writeUInt32LE(crc32(body), 4);
	// Without a checksum of the header, a damaged length in the middle of the file would be mistaken for a torn tail.
	record.writeUInt32LE(crc32(record.subarray(0, 8)), 8);
	record.set(body, RECORD_HEADER_BYTES);
	return record;
}

/** Length without the zeros at the end, where the file has its new size but not its data; a few zeros may belong to a record. */
function getStoredLength(bytes: Uint8Array): number {
	const length = bytes.findLastIndex(byte => byte !== 0) + 1;
	return bytes.length - length < MIN_MISSING_BYTES ? bytes.length : length;
}

type Frame =
	| {readonly kind: 'record'; readonly body: Uint8Array; readonly endOffset: number}
	| {readonly kind: 'torn'}
	| {readonly kind: 'damaged'; readonly reason: string};

function readFrame(bytes: Uint8Array, offset: number): Frame {
	const remaining = bytes.subarray(offset);
	const storedLength = getStoredLength(remaining);
	if (storedLength < RECORD_HEADER_BYTES) {
		return {kind: 'torn'};
	}

	const header = new DataView(remaining.buffer, remaining.byteOffset, RECORD_HEADER_BYTES);
	if (crc32(remaining.subarray(0, 8)) !== header.getUint32(8, true)) {
		return {kind: 'damaged', reason: 'the record header fails its checksum'};
	}

	const endOffset = RECORD_HEADER_BYTES + header.getUint32(0, true);
	const body = remaining.subarray(RECORD_HEADER_BYTES, endOffset);
	const isValid = endOffset <= remaining.length && crc32(body) === header.getUint32(4, true);
	if (!isValid && endOffset > storedLength) {
		return {kind: 'torn'};
	}

	if (!isValid) {
		return {kind: 'damaged', reason: 'the record body fails its checksum'};
	}

	return {kind: 'record', body, endOffset: offset + endOffset};
}

function decodeBody<T>(codec: Codec<T>, file: string, body: Uint8Array, offset: number): T {
	try {
		return codec.decode(body);
	} catch (err: unknown) {
		throw new CorruptionError(file, offset, 'the record does not match its schema', {cause: err});
	}
}

/** Decodes the first record of a file. It is written atomically with the file, so a torn one counts as corruption. */
export function decodeFirstRecord<T>(codec: Codec<T>, file: string, bytes: Uint8Array): StoredRecord<T> {
	const frame = readFrame(bytes, 0);
	if (frame.kind !== 'record') {
		throw new CorruptionError(file, 0, frame.kind === 'damaged' ? frame.reason : 'the first record is missing');
	}

	return {value: decodeBody(codec, file, frame.body, 0), endOffset: frame.endOffset};
}

/**
 * Decodes all records of a file. Decoding stops at a torn tail, since only an unacknowledged write leaves one.
 * Any other invalid record throws, because an acknowledged record may be lost.
 */
export function decodeRecords<T>(codec: Codec<T>, file: string, bytes: Uint8Array, startOffset = 0): ReadonlyArray<StoredRecord<T>> {
	const records: Array<StoredRecord<T>> = [];
	let offset = startOffset;
	while (offset < bytes.length) {
		const frame = readFrame(bytes, offset);
		if (frame.kind === 'torn') {
			break;
		}

		if (frame.kind === 'damaged') {
			throw new CorruptionError(file, offset, frame.reason);
		}

		records.push({value: decodeBody(codec, file, frame.body, offset), endOffset: frame.endOffset});
		offset = frame.endOffset;
	}

	return records;
}

/** Decodes a file that is always replaced as a whole and so contains exactly one record. */
export function decodeSingleRecord<T>(codec: Codec<T>, file: string, bytes: Uint8Array): T {
	const record = decodeFirstRecord(codec, file, bytes);
	if (record.endOffset !== bytes.length) {
		throw new CorruptionError(file, record.endOffset, 'the file holds more than one record');
	}

	return record.value;
}
