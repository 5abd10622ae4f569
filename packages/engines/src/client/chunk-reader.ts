import {
	ChatChunk, MAX_ANSWER_BYTES, type SendFailure, StreamBrokenError, type StreamItem,
} from '@egretrill/common';
import {createParser} from 'eventsource-parser';
import {DONE_MARKER} from '../constants.js';

function breakStream(code: string, reason: string): StreamBrokenError {
	const failure: SendFailure = {accepted: true, code, reason};
	return new StreamBrokenError(failure);
}

function parseChunk(data: string): ChatChunk {
	let value: unknown;
	try {
		value = JSON.parse(data);
	} catch (err: unknown) {
		throw breakStream('malformed-chunk', `The engine sent a chunk that is not JSON: ${String(err)}`);
	}

	const parsed = ChatChunk.safeParse(value);
	if (!parsed.success) {
		throw breakStream('malformed-chunk', 'The engine sent a chunk without id and sequence.');
	}

	return parsed.data;
}

/** Turns the bytes of one engine stream into items, and accepts only the chunks of its own request in order, up to the end marker. */
export class ChunkReader {
	private items: StreamItem[] = [];
	private nextSeq: number;
	private isDone = false;
	private readonly decoder = new TextDecoder();
	private readonly parser = createParser({
		onEvent: event => {
			this.takeData(event.data);
		},
		onComment: () => {
			if (!this.isDone) {
				this.items.push({kind: 'heartbeat'});
			}
		},
		onError(err) {
			// Unknown fields are skipped, as the format demands.
			if (err.type === 'max-buffer-size-exceeded') {
				throw breakStream('oversized-chunk', `The engine sent an event of more than ${MAX_ANSWER_BYTES} characters.`);
			}
		},
		maxBufferSize: MAX_ANSWER_BYTES,
	});

	constructor(private readonly requestId: string, resumeFrom: number) {
		this.nextSeq = resumeFrom;
	}

	/** Returns the items that the bytes complete; throws when a chunk belongs to another request or is missing. */
	read(bytes: Uint8Array): readonly StreamItem[] {
		this.parser.feed(this.decoder.decode(bytes, {stream: true}));
		const {items} = this;
		this.items = [];
		return items;
	}

	/** Throws unless the final marker has arrived, so that a truncated answer never passes for a whole one. */
	finish(): void {
		if (!this.isDone) {
			throw breakStream('stream-truncated', 'The engine closed the stream before its end marker.');
		}
	}

	private takeData(data: string): void {
		if (this.isDone) {
			return;
		}

		if (data === DONE_MARKER) {
			this.isDone = true;
			this.items.push({kind: 'done'});
			return;
		}

		const chunk = parseChunk(data);
		if (chunk.id !== this.requestId) {
			throw breakStream('crossed-chunk', 'The engine sent a chunk of another request.');
		}

		if (chunk.egretrill.seq < this.nextSeq) {
			// A chunk that was already delivered may arrive again after a resume.
			return;
		}

		if (chunk.egretrill.seq > this.nextSeq) {
			throw breakStream('missing-chunk', `Expected chunk ${this.nextSeq}, received ${chunk.egretrill.seq}.`);
		}

		this.nextSeq += 1;
		this.items.push({
			// An event may span several lines; in JSON a line break is only white space, and the caller's event has one line.
			kind: 'chunk', seq: chunk.egretrill.seq, data: data.replaceAll('\n', ' '), ...(chunk.usage && {completionTokens: chunk.usage.completion_tokens}),
		});
	}
}
