import type {Clock} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import {Result} from 'true-myth';
import {
	type AnswerFrame, answerFrameCodec, type CallFrame, callFrameCodec, SESSION_PATH,
} from './types.js';

/** Why a call to another host failed; only after `unreachable` and `refused` is it certain that the other host did not act on it. */
export type PeerCallError = {
	readonly code: 'unreachable' | 'broken' | 'timeout' | 'refused' | 'failed';
	readonly message: string;
};

type CallResult = Result<Uint8Array, PeerCallError>;
type PendingCall = {readonly frame: CallFrame; readonly complete: (result: CallResult) => void};

function toSessionError(err: Partial<grpc.ServiceError>, wasOpen: boolean): PeerCallError {
	const message = err.details ?? err.message ?? 'The connection ended.';
	switch (err.code) {
		case grpc.status.PERMISSION_DENIED:
		case grpc.status.UNAUTHENTICATED: {
			return {code: 'refused', message};
		}

		default: {
			return {code: wasOpen ? 'broken' : 'unreachable', message};
		}
	}
}

/** The stream of calls to another host, from its opening to its end. */
export class PeerSession {
	private readonly stream: grpc.ClientDuplexStream<CallFrame, AnswerFrame>;
	private readonly pendingCalls = new Map<number, PendingCall>();
	private lastId = 0;
	private isOpen = false;
	private hasEnded = false;
	/** When the first call was sent after which nothing has been received. */
	private unresponsiveSinceMs: number | undefined;

	constructor(client: grpc.Client, private readonly clock: Clock) {
		this.stream = client.makeBidiStreamRequest(SESSION_PATH, callFrameCodec.encode, bytes => answerFrameCodec.decode(bytes));
		this.stream.once('metadata', () => {
			this.open();
		});
		void this.receive();
	}

	get isClosed(): boolean {
		return this.hasEnded;
	}

	/** How long calls have been out without any sign of the other host. */
	getUnresponsiveMs(): number {
		return this.unresponsiveSinceMs === undefined ? 0 : this.clock.now() - this.unresponsiveSinceMs;
	}

	/** Sends a call once the session is open; a call that times out before is never sent. */
	async call(path: string, body: Uint8Array, deadlineMs: number): Promise<CallResult> {
		this.lastId += 1;
		const id = this.lastId;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.pendingCalls.delete(id);
				resolve(Result.err({code: this.isOpen ? 'timeout' : 'unreachable', message: `Deadline exceeded after ${deadlineMs} ms.`}));
			}, deadlineMs);
			const complete = (result: CallResult): void => {
				clearTimeout(timer);
				this.pendingCalls.delete(id);
				resolve(result);
			};

			this.pendingCalls.set(id, {frame: [id, path, body], complete});
			this.unresponsiveSinceMs ??= this.clock.now();
			if (this.isOpen) {
				this.stream.write([id, path, body]);
			}
		});
	}

	/** Ends the session; calls without an answer are broken. */
	end(): void {
		this.stream.cancel();
	}

	private open(): void {
		this.isOpen = true;
		this.unresponsiveSinceMs = this.pendingCalls.size > 0 ? this.clock.now() : undefined;
		for (const {frame} of this.pendingCalls.values()) {
			this.stream.write(frame);
		}
	}

	/** Gives each answer to its call until the stream ends. */
	private async receive(): Promise<void> {
		let failure: Partial<grpc.ServiceError> = {};
		try {
			for await (const [id, answer] of this.stream as AsyncIterable<AnswerFrame>) {
				this.unresponsiveSinceMs = undefined;
				this.pendingCalls.get(id)?.complete(typeof answer === 'string' ? Result.err({code: 'failed', message: answer}) : Result.ok(answer));
			}
		} catch (err: unknown) {
			failure = err as Partial<grpc.ServiceError>;
		}

		this.hasEnded = true;
		for (const {complete} of this.pendingCalls.values()) {
			complete(Result.err(toSessionError(failure, this.isOpen)));
		}
	}
}
