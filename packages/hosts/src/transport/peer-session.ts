import {type Clock, MAX_MESSAGE_BYTES} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import {Result} from 'true-myth';
import {PacedWriter} from './paced-writer.js';
import {
	type AnswerFrame, answerFrameCodec, type CallFrame, callFrameCodec, SESSION_PATH,
} from './types.js';

/** Reason why a call to another host failed. Only with `unreachable` and `refused` is it certain that the other host did not process it. */
export type PeerCallError = {
	readonly code: 'unreachable' | 'broken' | 'timeout' | 'refused' | 'failed';
	readonly message: string;
};

type CallResult = Result<Uint8Array, PeerCallError>;
type PendingCall = {
	readonly frame: CallFrame;
	readonly complete: (result: CallResult) => void;
	/** Whether the call was written; before that it is certain that the other host did not process it. */
	isSent: boolean;
};

/** Bytes of calls that may wait to be written on one session: two of the longest ones. */
const MAX_WAITING_BYTES = 2 * MAX_MESSAGE_BYTES;

function toSessionError(err: Partial<grpc.ServiceError>, wasSent: boolean): PeerCallError {
	const message = err.details ?? err.message ?? 'The connection ended.';
	switch (err.code) {
		case grpc.status.PERMISSION_DENIED:
		case grpc.status.UNAUTHENTICATED: {
			return {code: 'refused', message};
		}

		default: {
			return {code: wasSent ? 'broken' : 'unreachable', message};
		}
	}
}

/** A bidirectional stream that carries the calls to another host. */
export class PeerSession {
	private readonly stream: grpc.ClientDuplexStream<CallFrame, AnswerFrame>;
	private readonly writer: PacedWriter<CallFrame>;
	private readonly pendingCalls = new Map<number, PendingCall>();
	private lastId = 0;
	private waitingBytes = 0;
	private isOpen = false;
	private hasEnded = false;
	/** Start time of the first call after the last received frame; undefined if there was no such call. */
	private unresponsiveSinceMs: number | undefined;
	/** Time of the last received frame, or of the start of the session. */
	private lastReceivedMs: number;

	constructor(client: grpc.Client, private readonly clock: Clock) {
		this.lastReceivedMs = clock.now();
		this.stream = client.makeBidiStreamRequest(SESSION_PATH, callFrameCodec.encode, bytes => answerFrameCodec.decode(bytes));
		this.writer = new PacedWriter(this.stream);
		this.stream.once('metadata', () => {
			this.open();
		});
		void this.receive();
	}

	/** Whether the other host has accepted the session. */
	get wasOpened(): boolean {
		return this.isOpen;
	}

	get isClosed(): boolean {
		return this.hasEnded;
	}

	/** Time of the first call since the other host was last heard; undefined if there was none. */
	getUnresponsiveSinceMs(): number | undefined {
		return this.unresponsiveSinceMs;
	}

	/** Time since the last received frame, or since the start of the session. */
	getUnheardMs(): number {
		return this.clock.now() - this.lastReceivedMs;
	}

	/** Whether something was received at or after the time. */
	wasHeardSince(timeMs: number): boolean {
		return this.lastReceivedMs >= timeMs;
	}

	/** Whether no call is pending and nothing was received since the time. */
	isIdleSince(timeMs: number): boolean {
		return this.pendingCalls.size === 0 && !this.wasHeardSince(timeMs);
	}

	/** Sends a call once the session is open and the other host has taken the calls before it; a call that times out before that is never sent. */
	async call(path: string, body: Uint8Array, deadlineMs: number): Promise<CallResult> {
		if (this.waitingBytes + body.length > MAX_WAITING_BYTES) {
			return Result.err({code: 'unreachable', message: 'Too many calls wait for the other host to take them.'});
		}

		this.lastId += 1;
		const id = this.lastId;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				const isSent = this.remove(id)?.isSent;
				resolve(Result.err({code: isSent ? 'timeout' : 'unreachable', message: `Deadline exceeded after ${deadlineMs} ms.`}));
			}, deadlineMs);
			const complete = (result: CallResult): void => {
				clearTimeout(timer);
				this.remove(id);
				resolve(result);
			};

			this.pendingCalls.set(id, {frame: [id, path, body], complete, isSent: false});
			this.waitingBytes += body.length;
			this.unresponsiveSinceMs ??= this.clock.now();
			if (this.isOpen) {
				void this.send(id);
			}
		});
	}

	/** Ends the session; pending calls fail with `broken`, or with `unreachable` if the session was never open. */
	end(): void {
		this.stream.cancel();
	}

	private open(): void {
		this.isOpen = true;
		this.lastReceivedMs = this.clock.now();
		this.unresponsiveSinceMs = this.pendingCalls.size > 0 ? this.clock.now() : undefined;
		for (const id of this.pendingCalls.keys()) {
			void this.send(id);
		}
	}

	/** Writes a call when its turn comes, unless it was given up. */
	private async send(id: number): Promise<void> {
		await this.writer.send(() => {
			const call = this.pendingCalls.get(id);
			if (!call) {
				return undefined;
			}

			const {frame} = call;
			const bytes = frame[2].length;
			call.isSent = true;
			this.waitingBytes -= bytes;
			return {frame, bytes};
		});
	}

	private remove(id: number): PendingCall | undefined {
		const call = this.pendingCalls.get(id);
		this.pendingCalls.delete(id);
		if (call && !call.isSent) {
			this.waitingBytes -= call.frame[2].length;
		}

		return call;
	}

	/** Completes calls with their answers until the stream ends, then fails the pending ones. */
	private async receive(): Promise<void> {
		let failure: Partial<grpc.ServiceError> = {};
		try {
			for await (const [id, answer] of this.stream as AsyncIterable<AnswerFrame>) {
				this.unresponsiveSinceMs = undefined;
				this.lastReceivedMs = this.clock.now();
				this.pendingCalls.get(id)?.complete(typeof answer === 'string' ? Result.err({code: 'failed', message: answer}) : Result.ok(answer));
			}
		} catch (err: unknown) {
			failure = err as Partial<grpc.ServiceError>;
		}

		this.hasEnded = true;
		this.writer.end();
		for (const {complete, isSent} of this.pendingCalls.values()) {
			complete(Result.err(toSessionError(failure, isSent)));
		}
	}
}
