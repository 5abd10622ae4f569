import type {ClientRequest} from 'node:http';
import type {CancelableRequest} from 'got';
import {onProtocolSwitch, ProtocolSwitchError} from './http-exchange.js';

/** An answer that is longer than its reader accepts. */
export class AnswerTooLongError extends Error {
	override readonly name = 'AnswerTooLongError';
}

/** Reads an answer that the HTTP library buffers as a whole, and closes the connection once more than `maxBytes` of its body have arrived or the server switches protocols. */
export async function limitAnswer<Answer>(exchange: CancelableRequest<Answer>, maxBytes: number): Promise<Answer> {
	let failure: Error | undefined;
	const fail = (err: Error): void => {
		failure = err;
		exchange.cancel();
	};

	void exchange.on('downloadProgress', ({transferred}) => {
		if (transferred > maxBytes && !failure) {
			fail(new AnswerTooLongError(`The answer is longer than ${maxBytes} bytes.`));
		}
	});
	void exchange.on('request', (req: ClientRequest) => {
		onProtocolSwitch(req, () => {
			fail(new ProtocolSwitchError());
		});
	});
	try {
		return await exchange;
	} catch (err: unknown) {
		throw failure ?? err;
	}
}
