import {Result} from 'true-myth';
import type {PartFault} from './parse-in-parts.js';

/** Messages that are remembered, and the longest text of one; the heartbeat of an engine has about a kilobyte. */
const MAX_MESSAGES = 1024;
const MAX_TEXT_LENGTH = 8192;

type Numbered = {readonly sequence: number};
type Known<T> = {readonly text: string; readonly data: T};
type Parsed<T> = Result<T, readonly PartFault[]>;

function isSequence(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Text of a message without its sequence; undefined if it is no object, has no valid sequence or is too long or nested too deeply to be remembered. */
function describe(message: unknown): string | undefined {
	const {sequence, ...content} = (message ?? {}) as {readonly sequence?: unknown};
	if (!isSequence(sequence)) {
		return undefined;
	}

	try {
		const text = JSON.stringify(content);
		return text.length > MAX_TEXT_LENGTH ? undefined : text;
	} catch {
		return undefined;
	}
}

/** Validates messages of which most repeat the last one of their sender apart from the sequence; such a one is not validated in full again. */
export class RepeatedMessages<T extends Numbered> {
	private readonly known = new Map<string, Known<T>>();

	constructor(private readonly parse: (message: unknown, sender: string) => Parsed<T>) {}

	read(sender: string, message: unknown): Parsed<T> {
		const text = describe(message);
		const known = this.known.get(sender);
		if (known && known.text === text) {
			const {sequence} = message as Numbered;
			return Result.ok({...known.data, sequence});
		}

		return this.parse(message, sender).map(data => {
			this.remember(sender, text, data);
			return data;
		});
	}

	private remember(sender: string, text: string | undefined, data: T): void {
		this.known.delete(sender);
		if (text === undefined) {
			return;
		}

		this.known.set(sender, {text, data});
		if (this.known.size > MAX_MESSAGES) {
			const [oldest = ''] = this.known.keys();
			this.known.delete(oldest);
		}
	}
}
