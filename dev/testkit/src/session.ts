import {inspect} from 'node:util';
import type {ReceivedRequest} from '@egretrill/stand-ins';
import got from 'got';
import {getConfig} from './admin-client.js';
import {type CallOptions, StreamingCall} from './caller.js';
import type {DaemonProcess, LogLine} from './daemon-process.js';
import {type Fleet, OPERATOR_KEY} from './fleet.js';
import {getLocalKey} from './local-config.js';
import {waitFor} from './wait.js';

/** A target whose received requests a transcript shows. */
export type WatchedTarget = {readonly name: string; readonly getReceived: () => Promise<readonly ReceivedRequest[]> | readonly ReceivedRequest[]};

export type SessionOptions = {
	readonly targets?: readonly WatchedTarget[];
	/** Hosts whose log the transcript shows; all hosts of the fleet by default. */
	readonly hosts?: readonly DaemonProcess[];
	/** Path of the calls with which a test polls for a state; their log lines are left out. */
	readonly probePath?: string;
	/** Model whose placement decisions and orders the transcript shows. */
	readonly placedModel?: string;
};

export type SessionCallOptions = CallOptions & {
	/** Customer whose key is sent; by default the call carries no key. */
	readonly customer?: string;
};

type OperatorExchange = {readonly host: DaemonProcess; readonly path: string; readonly json: unknown; readonly status: number; readonly body: unknown};
type SentCall = {readonly host: DaemonProcess; readonly path: string; readonly opts: SessionCallOptions; readonly call: StreamingCall};

const answerHeaders = ['content-type', 'retry-after', 'x-egretrill-verdict', 'x-request-id'];
const omittedTargetHeaders: ReadonlySet<string> = new Set(['host', 'connection', 'content-length', 'transfer-encoding', 'user-agent', 'accept-encoding', 'x-egretrill-deadline-ms']);
/** Fields of log lines that differ from run to run or are the same on each line. */
const omittedLogFields: ReadonlySet<string> = new Set(['name', 'hostname', 'pid', 'level', 'time', 'v', 'component', 'msg', 'address', 'startId', 'scores', 'elapsedMs']);
const recordedComponents: ReadonlySet<unknown> = new Set(['routing', 'callers']);
const requestEndMessages: ReadonlySet<string> = new Set(['Request ended.', 'Request refused.']);
const MAX_LINE_LENGTH = 400;
/** A draining host refuses a call before it reaches the request path, which writes the log line, so such calls are not logged. */
const drainRefusalCode = '"code":"draining"';

/** Formats a value on one line, or as an indented block if it is long. */
function format(value: unknown): string {
	const line = inspect(value, {
		breakLength: Number.POSITIVE_INFINITY, compact: true, depth: null, maxArrayLength: null,
	});
	return line.length <= MAX_LINE_LENGTH ? line : inspect(value, {breakLength: 120, depth: null, maxArrayLength: null}).replaceAll('\n', '\n  ');
}

function formatText(text: string): string {
	try {
		return format(JSON.parse(text));
	} catch {
		return text;
	}
}

/** Formats an answer line by line; heartbeats are left out, because their number depends on timing. */
function formatBody(body: string): readonly string[] {
	return body.split('\n')
		.filter(line => line !== '' && line !== ': heartbeat')
		.map(line => line.startsWith('data: ') ? `data: ${formatText(line.slice('data: '.length))}` : formatText(line));
}

function formatLine(line: LogLine): string {
	const fields = Object.entries(line).filter(([name]) => !omittedLogFields.has(name));
	return `  ${String(line.component)}: ${line.msg} ${format(Object.fromEntries(fields))}`;
}

/** Records the requests of callers and operators to a fleet, and its answers, as a readable transcript. */
export class Session {
	/** Starts recording; earlier requests and log lines are left out. */
	static async start(fleet: Fleet, opts: SessionOptions = {}): Promise<Session> {
		const received = await Promise.all((opts.targets ?? []).map(async target => target.getReceived()));
		const initialReceivedCounts = received.map(({length}) => length);
		const {version} = await getConfig(fleet.getHost(0));
		return new Session(fleet, opts, initialReceivedCounts, version);
	}

	private readonly calls: SentCall[] = [];
	private readonly operatorExchanges: OperatorExchange[] = [];
	private readonly logOffsets: readonly number[];
	private readonly requestIdLabels = new Map<string, string>();

	private constructor(private readonly fleet: Fleet, private readonly opts: SessionOptions, private readonly initialReceivedCounts: readonly number[], private readonly initialVersion: number) {
		this.logOffsets = fleet.hosts.map(host => host.log.length);
	}

	/** Sends a caller's request without waiting for its answer. */
	send(host: DaemonProcess, path: string, opts: SessionCallOptions = {}): StreamingCall {
		const key: Record<string, string> = opts.customer === undefined ? {} : {authorization: `Bearer ${getLocalKey(opts.customer)}`};
		const call = new StreamingCall(`http://${host.addresses.callers}${path}`, {...opts, headers: {...key, ...opts.headers}});
		this.calls.push({
			host, path, opts, call,
		});
		return call;
	}

	/** Sends one request of an operator and records the answer; of the field named by `transientField`, whose value depends on timing, only the presence is recorded. */
	async sendOperation(host: DaemonProcess, path: string, json?: Readonly<Record<string, unknown>>, transientField?: string): Promise<Readonly<Record<string, unknown>>> {
		const exchange = await this.callAdminApi(host, path, json);
		const body = exchange.body as Readonly<Record<string, unknown>>;
		this.operatorExchanges.push(transientField !== undefined && transientField in body ? {...exchange, body: {...body, [transientField]: 'PASSING'}} : exchange);
		return body;
	}

	/** Repeats an operator's request until the answer is the expected one, and records only that answer. */
	async pollOperation(host: DaemonProcess, path: string, isExpected: (body: Readonly<Record<string, unknown>>) => boolean): Promise<void> {
		const exchange = await waitFor(`the answer of ${path}`, async () => {
			const candidate = await this.callAdminApi(host, path);
			return isExpected(candidate.body as Record<string, unknown>) ? candidate : undefined;
		});
		this.operatorExchanges.push(exchange);
	}

	/** Returns the log lines of one host since the session started. */
	getLog(host: DaemonProcess): readonly LogLine[] {
		return host.log.slice(this.logOffsets[this.fleet.hosts.indexOf(host)]);
	}

	/** Waits until every call has ended at the caller and in the log, and returns the transcript. */
	async getTranscript(): Promise<string> {
		await Promise.all(this.calls.map(async ({call}) => call.ended));
		const loggedCount = this.calls.filter(({call}) => !call.body.includes(drainRefusalCode)).length;
		await waitFor('the log lines of all calls', () => this.countEndedRequests() >= loggedCount || undefined);
		const received = await Promise.all((this.opts.targets ?? []).map(async (target, i) => this.formatReceived(target, this.initialReceivedCounts[i] ?? 0)));
		const blocks = [
			...this.calls.flatMap((sent, i) => this.formatCall(sent, i + 1)),
			...this.operatorExchanges.flatMap((operatorExchange, i) => this.formatOperation(operatorExchange, i + 1)),
			...received.flat(),
			...this.getHosts().flatMap(host => this.formatLog(host)),
		];
		return `\n${this.normalize(blocks.join('\n'))}\n`;
	}

	private async callAdminApi(host: DaemonProcess, path: string, json?: unknown): Promise<OperatorExchange> {
		const res = await got(`http://${host.addresses.admin}${path}`, {
			method: json === undefined ? 'GET' : 'POST', headers: {authorization: `Bearer ${OPERATOR_KEY}`}, ...(json !== undefined && {json}), throwHttpErrors: false, retry: {limit: 0},
		});
		return {
			host, path, json, status: res.statusCode, body: JSON.parse(res.body),
		};
	}

	private getHosts(): readonly DaemonProcess[] {
		return this.opts.hosts ?? this.fleet.hosts;
	}

	private countEndedRequests(): number {
		return this.getHosts().reduce((sum, host) => sum + this.getLog(host).filter(line => requestEndMessages.has(line.msg) && !this.isProbe(line)).length, 0);
	}

	private isProbe({path}: LogLine): boolean {
		return path !== undefined && path === this.opts.probePath;
	}

	/** Returns the log lines of requests and the placement lines that change the session's model; other placement lines repeat in each placement round. */
	private getRecordedLog(host: DaemonProcess): readonly LogLine[] {
		const log = this.getLog(host);
		const probes = new Set(log.filter(line => this.isProbe(line)).map(({requestId}) => requestId));
		return log.filter(({component, requestId, model, decision, order}) => component === 'placement'
			? this.opts.placedModel !== undefined && decision !== 'wait' && decision !== 'keep' && (model ?? (order as {model?: unknown} | undefined)?.model) === this.opts.placedModel
			: recordedComponents.has(component) && !probes.has(requestId));
	}

	private formatCall({host, path, opts, call}: SentCall, number: number): readonly string[] {
		const ports = this.calls.map(sent => sent.call.port);
		const firstOnPort = ports.indexOf(call.port) + 1;
		const connection = firstOnPort < number && call.port > 0 ? `, on the connection of call ${firstOnPort}` : '';
		return [
			`call ${number}: ${opts.method ?? 'POST'} ${path} at ${host.peer.id}${opts.customer === undefined ? '' : ` with the key of ${opts.customer}`}${connection}`,
			...Object.entries(opts.headers ?? {}).map(([name, value]) => `  ${name}: ${value}`),
			...(opts.body === undefined ? [] : [`  ${formatText(opts.body)}`]),
			`answer ${number}: ${call.status}`,
			...answerHeaders.filter(name => call.headers[name] !== undefined).map(name => `  ${name}: ${call.headers[name]}`),
			...formatBody(call.body).map(line => `  ${line}`),
			'',
		];
	}

	private formatOperation({host, path, json, status, body}: OperatorExchange, number: number): readonly string[] {
		return [
			`operator ${number}: ${json === undefined ? 'GET' : 'POST'} ${path} at ${host.peer.id}`,
			...(json === undefined ? [] : [`  ${format(json)}`]),
			`answer: ${status} ${format(body)}`,
			'',
		];
	}

	private async formatReceived({name, getReceived}: WatchedTarget, offset: number): Promise<readonly string[]> {
		const allReceived = await getReceived();
		const received = allReceived.slice(offset);
		return [
			`${name} received${received.length === 0 ? ' nothing' : ':'}`,
			...received.flatMap(({method, path, headers, body, outcome, sentChunks}) => [
				`  ${method} ${path}`,
				...Object.entries(headers).filter(([header]) => !omittedTargetHeaders.has(header)).map(([header, value]) => `    ${header}: ${String(value)}`),
				`    ${format(body)}`,
				`    ${outcome}${sentChunks === 0 ? '' : `, ${sentChunks} chunks`}`,
			]),
			'',
		];
	}

	private formatLog(host: DaemonProcess): readonly string[] {
		const lines = this.getRecordedLog(host);
		const formatPart = (isPlacement: boolean): readonly string[] => lines.filter(line => (line.component === 'placement') === isPlacement).map(line => formatLine(line));
		// Orders and decisions are logged by two concurrent tasks, so the order of their lines is not defined.
		return lines.length === 0 ? [] : [`log of ${host.peer.id}:`, ...formatPart(false), ...formatPart(true).toSorted(), ''];
	}

	/** Numbers the request ids in order of appearance, shows versions relative to the start of the session, and replaces values that differ from run to run. */
	private normalize(text: string): string {
		return text
			.replaceAll(/req-[\da-f\-]{36}/gv, id => {
				const label = this.requestIdLabels.get(id) ?? `req-${this.requestIdLabels.size + 1}`;
				this.requestIdLabels.set(id, label);
				return label;
			})
			.replaceAll(/\b(?<name>version|follows): (?<number>\d+)/gv, (_, name: string, number: string) => `${name}: START+${Number(number) - this.initialVersion}`)
			.replaceAll(/\b(?<name>expiresInMs|fencing): \d+/gv, '$<name>: N')
			.replaceAll(/orderId: '[\w\-]+'/gv, 'orderId: ORDER')
			.replaceAll(/[\d.]+ requests\/s/gv, 'N requests/s')
			.replaceAll(/127\.0\.0\.1:\d+/gv, 'ADDRESS')
			.replaceAll(/[\da-f]{64}/gv, 'DIGEST');
	}
}
