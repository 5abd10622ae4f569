import {Agent} from 'node:http';
import {
	exchangeHttp, type SendFailure, type TargetAddress, TargetClient, type TargetRequest, type TargetResponse,
} from '@egretrill/common';
import type {Result} from 'true-myth';

/** Sends requests to plain services over HTTP. */
export class ServiceClient extends TargetClient {
	// A service can close a kept-alive connection just as a request is written to it; it would then be unknown whether
	// the request ran, so each call opens its own connection.
	private readonly agent = new Agent({keepAlive: false});

	override async send(target: TargetAddress, req: TargetRequest, signal: AbortSignal): Promise<Result<TargetResponse, SendFailure>> {
		return exchangeHttp(target, req, signal, this.agent);
	}
}
