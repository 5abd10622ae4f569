import type {Verdict} from '@egretrill/common';
import type {RequestHead} from './forward-dialect.js';

/** A caller's request and the channel for its answer. */
export abstract class CallerExchange {
	abstract readonly head: RequestHead;
	/** Aborts when the caller disconnects. */
	abstract readonly callerDisconnected: AbortSignal;
	/** Reads the complete body; undefined when it exceeds the limit. */
	abstract readBody(maxBytes: number): Promise<Uint8Array | undefined>;
	/** Whether the complete request, with its body, has arrived. */
	abstract isRequestComplete(): boolean;
	/** Whether the head of an answer has been sent. */
	abstract hasStarted(): boolean;
	/** Sends the head of a target's answer; the headers alternate names and values. */
	abstract start(status: number, headers: readonly string[], bodyLength?: number): void;
	/** Sets the signal that ends writes which wait for the caller; it must also abort when the caller disconnects. */
	abstract cancelWritesOn(signal: AbortSignal): void;
	/** Resolves when the caller can accept more data; rejects when the caller disconnects or the signal for waiting writes aborts. */
	abstract write(bytes: Uint8Array): Promise<void>;
	abstract end(): void;
	/** Closes the connection, so that a partial answer does not look complete. */
	abstract abort(): void;
	/** Sends a refusal or failure of this host. */
	abstract refuse(verdict: Verdict): void;
}
