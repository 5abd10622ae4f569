import type {CancelableRequest} from 'got';

/** An answer that is longer than its reader accepts. */
export class AnswerTooLongError extends Error {
	override readonly name = 'AnswerTooLongError';
}

/** Reads an answer that the HTTP library buffers as a whole, and closes the connection once more than `maxBytes` of its body have arrived. */
export async function limitAnswer<Answer>(exchange: CancelableRequest<Answer>, maxBytes: number): Promise<Answer> {
	let isTooLong = false;
	void exchange.on('downloadProgress', ({transferred}) => {
		if (transferred > maxBytes && !isTooLong) {
			isTooLong = true;
			exchange.cancel();
		}
	});
	try {
		return await exchange;
	} catch (err: unknown) {
		throw isTooLong ? new AnswerTooLongError(`The answer is longer than ${maxBytes} bytes.`, {cause: err}) : err;
	}
}
