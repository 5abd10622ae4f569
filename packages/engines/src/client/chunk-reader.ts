import {
	ChatChunk, MAX_ANSWER_BYTES, type SendFailure, StreamBrokenError, type StreamItem,
} from '@egretrill/common';
import {createParser} from 'eventsource-parser';
import {DONE_MARKER} from '../constants.js';

function createStreamError(code: string, reason: string): StreamBrokenError {
	const failure: SendFailure = {accepted: true, code, reason};
	return new StreamBrokenError(failure);
}

function parseChunk(data: string): ChatChunk {
	let value: unknown;
	try {
		value = JSON.parse(data);
	} catch (err: unknown) {
		throw createStreamError('malformed-chunk', `The engine sent a chunk that is not JSON: ${String(err)}`);
	}

	const parsed = ChatChunk.safeParse(value);
	if (!parsed.success) {
		throw createStreamError('malformed-chunk', 'The engine sent a chunk without id and sequence.');
	}

	return parsed.data;
}

/** Parses the bytes of one engine stream into items. Accepts only chunks of its own request, in sequence, up to the end marker. */
export class ChunkReader {
	private items: StreamItem[] = [];
	private nextSeq: number;
	private lastReceivedSeq: number | undefined;
	private isDone = false;
	/** Bytes since the last chunk or end marker. */
	private emptyBytes = 0;
	private readonly decoder = new TextDecoder();
	private readonly parser = createParser({
		onEvent: event => {
			this.handleData(event.data);
		},
		onComment: () => {
			if (!this.isDone) {
				this.items.push({kind: 'heartbeat'});
			}
		},
		onError(err) {
			// Unknown fields are ignored, as the event stream format requires.
			if (err.type === 'max-buffer-size-exceeded') {
				throw createStreamError('oversized-chunk', `The engine sent an event of more than ${MAX_ANSWER_BYTES} characters.`);
			}
		},
		maxBufferSize: MAX_ANSWER_BYTES,
	});

	constructor(private readonly requestId: string, private readonly resumeFrom: number) {
		this.nextSeq = resumeFrom;
	}

	/** Returns the items that these bytes complete. Throws if a chunk belongs to another request, a sequence number is missing or heartbeats and empty lines go on without end. */
	read(bytes: Uint8Array): readonly StreamItem[] {
		this.parser.feed(this.decoder.decode(bytes, {stream: true}));
		const {items} = this;
		this.items = [];
		this.emptyBytes = items.some(item => item.kind !== 'heartbeat') ? 0 : this.emptyBytes + bytes.length;
		if (this.emptyBytes > MAX_ANSWER_BYTES && !this.isDone) {
			throw createStreamError('no-chunk', `The engine sent more than ${MAX_ANSWER_BYTES} bytes without a chunk.`);
		}

		return items;
	}

	/** Throws unless the end marker has been received, so that a truncated stream is not treated as complete. */
	finish(): void {
		if (!this.isDone) {
			throw createStreamError('stream-truncated', 'The engine closed the stream before its end marker.');
		}
	}

	private handleData(data: string): void {
		if (this.isDone) {
			return;
		}

		if (data === DONE_MARKER) {
			this.handleDone();
			return;
		}

		const chunk = parseChunk(data);
		if (chunk.id !== this.requestId) {
			throw createStreamError('crossed-chunk', 'The engine sent a chunk of another request.');
		}

		const {seq} = chunk.egretrill;
		if (seq !== this.getExpectedSeq(seq)) {
			throw createStreamError('missing-chunk', `Expected chunk ${this.getExpectedSeq(seq)}, received ${seq}.`);
		}

		this.lastReceivedSeq = seq;
		if (seq < this.nextSeq) {
			// An engine may resend delivered chunks after a resume.
			return;
		}

		this.nextSeq += 1;
		this.items.push({
			// An event's data may span several lines, but the event sent to the caller has one data line. In JSON a line break is only white space.
			kind: 'chunk',
			seq,
			data: data.replaceAll('\n', ' '),
			...(chunk.usage && {completionTokens: chunk.usage.completion_tokens}),
			...(chunk.choices.some(choice => typeof choice.finish_reason === 'string') && {isLastOfText: true}),
		});
	}

	/** The sequence number that must follow; a resumed stream may begin with any chunk that was delivered before. */
	private getExpectedSeq(seq: number): number {
		return this.lastReceivedSeq === undefined ? Math.min(seq, this.nextSeq) : this.lastReceivedSeq + 1;
	}

	private handleDone(): void {
		const hasNoChunks = this.lastReceivedSeq === undefined;
		const isEnd = hasNoChunks ? this.resumeFrom > 0 : this.lastReceivedSeq === this.nextSeq - 1;
		if (!isEnd) {
			throw createStreamError('early-end', `The engine ended the stream before chunk ${this.nextSeq}.`);
		}

		this.isDone = true;
		this.items.push({kind: 'done', ...(hasNoChunks && {hasNoChunks})});
	}
}
