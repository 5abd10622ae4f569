import {Agent} from 'node:http';
import {
	exchangeHttp, type SendFailure, type TargetAddress, TargetClient, type TargetRequest, type TargetResponse,
} from '@egretrill/common';
import type {Result} from 'true-myth';

/** Talks to plain services over HTTP. */
export class ServiceClient extends TargetClient {
	// A kept connection can be closed by the service just as a request is written to it; then nobody could tell whether
	// the request ran, so each call opens its own connection.
	private readonly agent = new Agent({keepAlive: false});

	override async send(target: TargetAddress, req: TargetRequest, signal: AbortSignal): Promise<Result<TargetResponse, SendFailure>> {
		return exchangeHttp(target, req, signal, this.agent);
	}
}
