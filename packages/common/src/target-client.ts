import type {Result} from 'true-myth';
import {z} from 'zod';

/** The address of a chosen target, and the id of the process start that was chosen. */
export type TargetAddress = {
	readonly targetId: string;
	readonly startId: string;
	readonly address: string;
};

/** A request as sent to a target; it never contains the caller's key. */
export type TargetRequest = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly deadlineMs: number;
	readonly resumeFrom?: number;
};

export type TargetResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: AsyncIterable<Uint8Array>;
};

/** What marks the end of an answer's body; `none` if the status or the method allows no body. */
export const BodyFraming = z.enum(['length', 'chunks', 'connection', 'none']);
export type BodyFraming = z.infer<typeof BodyFraming>;

/** Why an exchange with a target failed; `accepted` is false only when nothing of the request left this host. */
export type SendFailure = {
	readonly accepted: boolean;
	readonly code: string;
	readonly reason: string;
};

/** Sends requests to one kind of target. */
export abstract class TargetClient {
	/** Sends the request and resolves when the head of the answer has arrived. */
	abstract send(target: TargetAddress, req: TargetRequest, signal: AbortSignal): Promise<Result<TargetResponse, SendFailure>>;
}
