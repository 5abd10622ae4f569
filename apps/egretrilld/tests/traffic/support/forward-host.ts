import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	type AnswerFacts, type AnswerHead, type AttemptNote, type ForwardCall, ForwardDialect, type ForwardEndNote, ForwardObserver, type ForwardParts, forwardRequest, ForwardSender, type OutgoingMessage, type PlaceAnswer, type PlaceNeed, PlaceQueue, PlaceSource, RateLender, RateParts, type RequestHead, RetryBudget, ReturnTimes, RouteTable, type SendDetails, type TargetAnswer,
} from '@egretrill/callers';
import {
	MonotonicClock, type SendFailure, type TrafficConfig, type TrafficRoute,
} from '@egretrill/common';
import type {Result} from 'true-myth';
import {HttpSender} from '../../../src/traffic/http-sender.js';
import {NodeExchange} from '../../../src/traffic/node-exchange.js';

/** Headers that a target's answer needs to be passed on. */
export const SIGNED = 'seal: s\r\nattempt: a1\r\n';

/** A deployment whose targets sign with `seal` and name the request with `attempt`. */
class PlainDialect extends ForwardDialect {
	override readCall({method, url}: RequestHead): ForwardCall {
		return {
			attemptId: 'a1', method, url, hostName: 'app.test', promptParts: [], headers: ['Host', 'app.test'],
		};
	}

	override writeSendHeaders({headers}: ForwardCall, {bodyLength}: SendDetails): string[] {
		return [...headers, 'Content-Length', String(bodyLength)];
	}

	override readAnswer({rawHeaders}: AnswerHead): AnswerFacts {
		const get = (name: string): string | undefined => rawHeaders[rawHeaders.findIndex((value, index) => index % 2 === 0 && value === name) + 1];
		const has = (name: string): boolean => rawHeaders.includes(name);
		return {
			...(has('attempt') && {attemptId: get('attempt')}), isSigned: has('seal'), isNotExecuted: has('not-run'), isEventStream: has('events'), headers: ['seal', 's'],
		};
	}
}

class ListedPlaces extends PlaceSource {
	constructor(private readonly addresses: readonly string[]) {
		super();
	}

	override findPlace({tried}: PlaceNeed): PlaceAnswer {
		const address = this.addresses.find(known => !tried.has(known));
		return address === undefined
			? {kind: 'none'}
			: {
				kind: 'place', place: {
					targetId: address, address, zone: 'a', outstanding: 0, updateOutstanding: () => undefined, release: () => undefined,
				},
			};
	}

	override getReadyMs(): undefined {
		return undefined;
	}

	override want(): void {
		// Services have no models.
	}
}

class Notes extends ForwardObserver {
	readonly attempts: AttemptNote[] = [];
	readonly ends: ForwardEndNote[] = [];

	override noteArrival(): void {
		// Demand is not looked at.
	}

	override noteAttempt(note: AttemptNote): void {
		this.attempts.push(note);
	}

	override noteEnd(note: ForwardEndNote): void {
		this.ends.push(note);
	}
}

class NoLender extends RateLender {
	override async borrow(): Promise<undefined> {
		return undefined;
	}
}

/** Tells when a piece of an answer has been read. */
class TellingSender extends ForwardSender {
	constructor(private readonly sender: HttpSender, private readonly onPiece: () => void) {
		super();
	}

	override async send(message: OutgoingMessage, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
		const sent = await this.sender.send(message, signal);
		return sent.map(answer => ({...answer, body: this.tell(answer.body)}));
	}

	private async * tell(body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
		for await (const piece of body) {
			this.onPiece();
			yield piece;
		}
	}
}

const config: TrafficConfig = {
	version: 1,
	routes: [],
	services: [{name: 's', coldRequestsPerSecond: 0}],
	limits: {
		maxHeaderBytes: 10_000, maxBodyBytes: 100_000_000, headerTimeoutMs: 5000, idleTimeoutMs: 5000,
	},
};

const route: TrafficRoute = {
	name: 'r', hostName: 'app.test', pathPrefix: '/', repeat: 'once', isStream: false, isResumable: false, isOpen: true, timeoutMs: 10_000, targetLatencyMs: 500, priority: 1, maxAttempts: 2, services: [{service: 's', weight: 1}],
};

export type ForwardHostOptions = {
	readonly targets: readonly string[];
	readonly route?: Partial<TrafficRoute>;
	readonly onPiece?: () => void;
};

/** The forwarding path of an entry host with its real HTTP parts and fixed targets. */
export class ForwardHost {
	static async open(opts: ForwardHostOptions): Promise<ForwardHost> {
		const host = new ForwardHost(opts);
		host.server.listen(0, '127.0.0.1');
		await once(host.server, 'listening');
		return host;
	}

	readonly notes = new Notes();
	private readonly sender = new HttpSender();
	private readonly server: Server;

	private constructor({targets, route: changes, onPiece = () => undefined}: ForwardHostOptions) {
		const clock = new MonotonicClock();
		const table = new RouteTable({...config, routes: [{...route, ...changes}]});
		const retries = new RetryBudget(clock, {ratio: 0, reserve: 100});
		const parts: ForwardParts = {
			clock, random: () => 0, dialect: new PlainDialect(), queue: new PlaceQueue(clock, new ListedPlaces(targets)), rates: new RateParts(clock), lender: new NoLender(), returnTimes: new ReturnTimes(clock), sender: new TellingSender(this.sender, onPiece), observer: this.notes, getTable: () => table, halted: new AbortController().signal, getRetries: () => retries,
		};
		this.server = createServer((req, res) => {
			void forwardRequest(new NodeExchange(req, res, () => false), parts);
		});
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	close(): void {
		this.sender.close();
		this.server.close();
		this.server.closeAllConnections();
	}
}
