import {Buffer} from 'node:buffer';
import type {EventPlace} from './event-order.js';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SPACE = 32;
const HYPHEN = 45;
const COLON = 58;

/** Fields of the event stream format. */
const fieldNames = ['id', 'data', 'event', 'retry'] as const;
const fieldNameBytes = fieldNames.map(name => ({name, bytes: Buffer.from(name)}));
const ID_LINE = /^id: ?(?<id>\d+)$/v;

type FieldName = (typeof fieldNames)[number];

/** A line of an event without its end, as offsets. */
type Line = {readonly start: number; readonly end: number};

/** What the lines of an event have told so far. */
type EventFields = {
	id: number | undefined;
	hasId: boolean;
	hasData: boolean;
	hasText: boolean;
	hasFields: boolean;
	/** Whether a target has added lines before the fields, such as the version of its weights. */
	hasAddedLines: boolean;
	hasComments: boolean;
};

/** Reads what an event tells about its place; undefined if the bytes are no single event, such as the head of an answer or parts of two events. Only an id is decoded, since an event may consist of any number of lines. */
export function readEventPlace(event: Uint8Array): EventPlace | undefined {
	const fields: EventFields = {
		id: undefined, hasId: false, hasData: false, hasText: false, hasFields: false, hasAddedLines: false, hasComments: false,
	};
	for (let start = 0; start < event.length;) {
		const lineFeed = findLineFeed(event, start);
		const end = lineFeed > start && event[lineFeed - 1] === CARRIAGE_RETURN ? lineFeed - 1 : lineFeed;
		if (end > start && !addLine(event, {start, end}, fields)) {
			return undefined;
		}

		start = lineFeed + 1;
	}

	return fields.hasAddedLines && !fields.hasFields ? undefined : {id: fields.id, hasData: fields.hasData, content: getContent(fields)};
}

/** Offset of the next line feed, or the end of the bytes. */
function findLineFeed(bytes: Uint8Array, start: number): number {
	let offset = start;
	while (offset < bytes.length && bytes[offset] !== LINE_FEED) {
		offset += 1;
	}

	return offset;
}

/** Adds what a line tells; returns whether it may be part of a single event. */
function addLine(event: Uint8Array, line: Line, fields: EventFields): boolean {
	if (event[line.start] === COLON) {
		fields.hasComments = true;
		return true;
	}

	const name = findFieldName(event, line);
	if (name === undefined) {
		fields.hasAddedLines = true;
		return !fields.hasFields && isAddedLine(event, line);
	}

	fields.hasFields = true;
	if (name === 'id') {
		const isFirst = !fields.hasId;
		fields.hasId = true;
		fields.id = isFirst ? readId(event, line) : undefined;
		return isFirst;
	}

	if (name === 'data') {
		fields.hasData = true;
		fields.hasText ||= hasText(event, line);
	}

	return true;
}

function findFieldName(event: Uint8Array, {start, end}: Line): FieldName | undefined {
	for (const {name, bytes} of fieldNameBytes) {
		const nameEnd = start + bytes.length;
		const isFollowed = nameEnd === end || (nameEnd < end && event[nameEnd] === COLON);
		if (isFollowed && startsWith(event, start, bytes)) {
			return name;
		}
	}

	return undefined;
}

function startsWith(event: Uint8Array, start: number, bytes: Uint8Array): boolean {
	for (const [i, byte] of bytes.entries()) {
		if (event[start + i] !== byte) {
			return false;
		}
	}

	return true;
}

/** Whether a line has the form of those that targets add: a name of lower-case letters, digits and hyphens, and a colon. */
function isAddedLine(event: Uint8Array, {start, end}: Line): boolean {
	let offset = start;
	while (offset < end && isNameByte(event[offset]!, offset === start)) {
		offset += 1;
	}

	return offset > start && offset < end && event[offset] === COLON;
}

function isNameByte(byte: number, isFirst: boolean): boolean {
	const isLetter = byte >= 97 && byte <= 122;
	const isDigit = byte >= 48 && byte <= 57;
	return isLetter || (!isFirst && (isDigit || byte === HYPHEN));
}

function readId(event: Uint8Array, {start, end}: Line): number | undefined {
	const text = Buffer.from(event.buffer, event.byteOffset + start, end - start).toString('latin1');
	const id = ID_LINE.exec(text)?.groups?.id;
	return id === undefined ? undefined : Number(id);
}

/** Whether a data line has more than its name and the space that may follow the colon. */
function hasText(event: Uint8Array, {start, end}: Line): boolean {
	const valueStart = start + 'data:'.length;
	return end > (event[valueStart] === SPACE ? valueStart + 1 : valueStart);
}

function getContent({id, hasText: isText, hasFields, hasComments}: EventFields): EventPlace['content'] {
	if (id !== undefined || isText) {
		return 'some';
	}

	return hasFields || hasComments ? 'keep-alive' : 'none';
}
