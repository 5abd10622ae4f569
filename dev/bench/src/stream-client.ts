import {Agent, request} from 'node:http';
import {getLocalKey} from '@egretrill/testkit';

/** Result of one streamed answer, with its times in milliseconds as the caller measures them. */
export type StreamTimes = {readonly status: number; readonly isWhole: boolean; readonly firstMs: number; readonly intervalsMs: readonly number[]};

/** Creates an agent that keeps connections alive, as the platform's balancer does. */
export function createStreamAgent(): Agent {
	return new Agent({keepAlive: true, maxSockets: 1000});
}

const sharedAgent = createStreamAgent();

/** Requests one streamed answer and records the arrival times of its events. */
export async function streamOnce(address: string, tokens: number, headers: Record<string, string> = {}, agent: Agent = sharedAgent): Promise<StreamTimes> {
	const startedMs = performance.now();
	const body = JSON.stringify({
		model: 'inscription', stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'Draft the plaque.'}],
	});
	return new Promise(resolve => {
		const arrivals: number[] = [];
		let status = 0;
		let tail = '';
		const finish = (): void => {
			const firstMs = (arrivals[0] ?? Number.NaN) - startedMs;
			resolve({
				status, isWhole: tail.includes('[DONE]'), firstMs, intervalsMs: arrivals.slice(1).map((at, i) => at - (arrivals[i] ?? at)),
			});
		};

		const req = request(`http://${address}/v1/chat/completions`, {
			method: 'POST', agent, headers: {authorization: `Bearer ${getLocalKey('yard')}`, 'content-type': 'application/json', ...headers},
		}, res => {
			status = res.statusCode ?? 0;
			res.on('data', (bytes: Uint8Array) => {
				const text = String(bytes);
				tail = (tail + text).slice(-64);
				if (text.includes('data:')) {
					arrivals.push(performance.now());
				}
			});
			res.once('end', finish);
			res.once('error', finish);
		});
		req.once('error', finish);
		req.end(body);
	});
}
