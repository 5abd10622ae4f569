import {Buffer} from 'node:buffer';
import type {EventPlace} from './event-order.js';

/** Fields of the event stream format. */
const fieldNames: ReadonlySet<string> = new Set(['id', 'data', 'event', 'retry']);
/** A line that a target adds before these fields, such as the version of its weights. */
const ADDED_LINE = /^[a-z][a-z\d\-]*:/v;
const ID_LINE = /^id: ?(?<id>\d+)$/v;

function getFieldName(line: string): string {
	const end = line.indexOf(':');
	return end === -1 ? line : line.slice(0, end);
}

/** Reads what an event tells about its place; undefined if the bytes are no single event, such as the head of an answer or parts of two events. */
export function readEventPlace(event: Uint8Array): EventPlace | undefined {
	const text = Buffer.from(event.buffer, event.byteOffset, event.byteLength).toString('latin1');
	const names = new Set<string>();
	let hasAddedLines = false;
	let id: number | undefined;
	for (const line of text.split(/\r?\n/v)) {
		if (line === '' || line.startsWith(':')) {
			continue;
		}

		const name = getFieldName(line);
		if (!fieldNames.has(name)) {
			if (names.size > 0 || !ADDED_LINE.test(line)) {
				return undefined;
			}

			hasAddedLines = true;
			continue;
		}

		if (name === 'id') {
			if (names.has('id')) {
				return undefined;
			}

			const match = ID_LINE.exec(line);
			id = match?.groups?.id === undefined ? undefined : Number(match.groups.id);
		}

		names.add(name);
	}

	return hasAddedLines && names.size === 0 ? undefined : {id, hasData: names.has('data')};
}
