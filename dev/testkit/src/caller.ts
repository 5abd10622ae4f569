import {once} from 'node:events';
import {type Agent, type IncomingMessage, request} from 'node:http';
import {waitFor} from './wait.js';

export type CallOptions = {
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly agent?: Agent;
	/** Cancels the call when it aborts. */
	readonly signal?: AbortSignal;
};

/** One request of a caller whose answer can be read while it arrives. */
export class StreamingCall {
	status = 0;
	headers: Readonly<Record<string, string>> = {};
	body = '';
	/** The caller's local port, which identifies requests on the same connection. */
	port = 0;
	/** Resolves when the answer is complete or the connection is broken; the body then ends with the connection error. */
	readonly ended: Promise<this>;
	private readonly disconnection = new AbortController();
	private answer: IncomingMessage | undefined;

	constructor(readonly url: string, readonly opts: CallOptions) {
		this.ended = this.run();
	}

	/** Waits until the answer contains a text. */
	async waitFor(text: string): Promise<void> {
		await waitFor(`${JSON.stringify(text)} in the answer`, () => this.body.includes(text) || undefined);
	}

	/** Stops reading the answer and keeps the connection open. */
	stopReading(): void {
		this.answer?.pause();
	}

	resumeReading(): void {
		this.answer?.resume();
	}

	/** Closes the connection. */
	disconnect(): void {
		this.disconnection.abort();
	}

	private async run(): Promise<this> {
		const {method = 'POST', headers = {}, body = '', agent, signal} = this.opts;
		const req = request(this.url, {
			method, headers: {...headers}, agent: agent ?? false, signal: signal ? AbortSignal.any([signal, this.disconnection.signal]) : this.disconnection.signal,
		});
		req.end(body);
		try {
			const [answer] = await once(req, 'response') as [IncomingMessage];
			this.answer = answer;
			this.port = answer.socket.localPort ?? 0;
			this.status = answer.statusCode ?? 0;
			this.headers = Object.fromEntries(Object.entries(answer.headers).map(([name, value]) => [name, String(value)]));
			answer.setEncoding('utf8').on('data', (text: string) => {
				this.body += text;
			});
			await once(answer, 'end');
		} catch (err: unknown) {
			this.body += `[connection broken: ${err instanceof Error ? err.message : 'unknown'}]`;
		}

		return this;
	}
}
