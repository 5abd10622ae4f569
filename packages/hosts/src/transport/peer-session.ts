import type {Clock} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import {Result} from 'true-myth';
import {
	type AnswerFrame, answerFrameCodec, type CallFrame, callFrameCodec, SESSION_PATH,
} from './types.js';

/** Reason why a call to another host failed. Only with `unreachable` and `refused` is it certain that the other host did not process it. */
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

/** A bidirectional stream that carries the calls to another host. */
export class PeerSession {
	private readonly stream: grpc.ClientDuplexStream<CallFrame, AnswerFrame>;
	private readonly pendingCalls = new Map<number, PendingCall>();
	private lastId = 0;
	private isOpen = false;
	private hasEnded = false;
	/** Start time of the first call after the last received frame; undefined if there was no such call. */
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

	/** Time for which calls have been pending while nothing was received from the other host. */
	getUnresponsiveMs(): number {
		return this.unresponsiveSinceMs === undefined ? 0 : this.clock.now() - this.unresponsiveSinceMs;
	}

	/** Sends a call once the session is open; a call that times out before that is never sent. */
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

	/** Ends the session; pending calls fail with `broken`, or with `unreachable` if the session was never open. */
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

	/** Completes calls with their answers until the stream ends, then fails the pending ones. */
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
