import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import type {Codec} from '@egretrill/common';
import {RECORD_HEADER_BYTES} from './constants.js';
import {CorruptionError} from './errors.js';

/** One decoded record and the offset behind it. */
export type StoredRecord<T> = {readonly value: T; readonly endOffset: number};

/** Frames a value as length, CRC-32 and MessagePack body. */
export function encodeRecord<T>(codec: Codec<T>, value: T): Uint8Array {
	const body = codec.encode(value);
	const record = Buffer.alloc(RECORD_HEADER_BYTES + body.length);
	record.writeUInt32LE(body.length, 0);
	record.writeUInt32LE(crc32(body), 4);
	// The header has its own checksum: with a damaged length a record in the middle would pass for a torn tail.
	record.writeUInt32LE(crc32(record.subarray(0, 8)), 8);
	record.set(body, RECORD_HEADER_BYTES);
	return record;
}

function isZeroed(bytes: Uint8Array): boolean {
	return bytes.every(byte => byte === 0);
}

type Frame =
	| {readonly kind: 'record'; readonly body: Uint8Array; readonly endOffset: number}
	| {readonly kind: 'torn'}
	| {readonly kind: 'damaged'; readonly reason: string};

function readFrame(bytes: Uint8Array, offset: number): Frame {
	const remaining = bytes.subarray(offset);
	// A crash may leave the file extended by zeros whose data never reached the disk.
	if (remaining.length < RECORD_HEADER_BYTES || isZeroed(remaining)) {
		return {kind: 'torn'};
	}

	const header = new DataView(remaining.buffer, remaining.byteOffset, RECORD_HEADER_BYTES);
	if (crc32(remaining.subarray(0, 8)) !== header.getUint32(8, true)) {
		return {kind: 'damaged', reason: 'the record header fails its checksum'};
	}

	const endOffset = RECORD_HEADER_BYTES + header.getUint32(0, true);
	const body = remaining.subarray(RECORD_HEADER_BYTES, endOffset);
	if (endOffset > remaining.length || (endOffset === remaining.length && isZeroed(body))) {
		return {kind: 'torn'};
	}

	if (crc32(body) !== header.getUint32(4, true)) {
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

/** Reads the record at the start of a file; it is written with the file, so it cannot be torn. */
export function decodeFirstRecord<T>(codec: Codec<T>, file: string, bytes: Uint8Array): StoredRecord<T> {
	const frame = readFrame(bytes, 0);
	if (frame.kind !== 'record') {
		throw new CorruptionError(file, 0, frame.kind === 'damaged' ? frame.reason : 'the first record is missing');
	}

	return {value: decodeBody(codec, file, frame.body, 0), endOffset: frame.endOffset};
}

/**
 * Reads every record of a file. A torn tail, which only a write that was never acknowledged leaves, ends the list;
 * any other bad record throws, because an acknowledged record may be lost.
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

/** Reads a file that was replaced as a whole and so holds exactly one record. */
export function decodeSingleRecord<T>(codec: Codec<T>, file: string, bytes: Uint8Array): T {
	const record = decodeFirstRecord(codec, file, bytes);
	if (record.endOffset !== bytes.length) {
		throw new CorruptionError(file, record.endOffset, 'the file holds more than one record');
	}

	return record.value;
}
