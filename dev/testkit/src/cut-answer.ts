import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {RawServer} from './raw-server.js';

/** Time in which the other end reads what came before the end of the connection. */
const LATE_END_MS = 5;
/** Cuts that are tried at the same time. */
const CONCURRENT_CUTS = 16;

/** How a server ends the connection after the part of its answer: with it, after a pause, or with its last byte after a pause; one that holds it open sends nothing more. */
export type CutEnding = 'FIN' | 'late FIN' | 'RST' | 'late RST' | 'last byte and RST' | 'held open';

/** An answer of which only the first `cut` bytes are sent. */
export type CutAnswer = {
	readonly text: string;
	readonly cut: number;
	readonly ending: CutEnding;
	/** Whole answers to the requests before it on its connection. */
	readonly earlier?: readonly string[];
	/** Whether the server reads no more than the first bytes of the request. */
	readonly isDeaf?: boolean;
};

async function writeCut(socket: Socket, {text, cut, ending}: CutAnswer): Promise<void> {
	const lateBytes = ending.startsWith('last byte') ? 1 : 0;
	socket.write(text.slice(0, Math.max(0, cut - lateBytes)));
	if (lateBytes > 0 || ending.startsWith('late')) {
		await delay(LATE_END_MS);
	}

	socket.write(text.slice(Math.max(0, cut - lateBytes), cut));

	if (ending.endsWith('FIN')) {
		socket.end();
	} else if (ending.endsWith('RST')) {
		socket.resetAndDestroy();
	}
}

/** Calls a server that cuts its answer, and resolves with the outcome. */
export async function callCutServer<Outcome>(answer: CutAnswer, call: (address: string) => Promise<Outcome>): Promise<Outcome> {
	const {earlier = [], isDeaf = false} = answer;
	const server = await RawServer.start(socket => {
		if (isDeaf) {
			socket.pause();
		}

		let requests = 0;
		const serve = (): void => {
			const whole = earlier[requests];
			requests += 1;
			if (whole !== undefined) {
				socket.write(whole);
			} else if (requests === earlier.length + 1) {
				void writeCut(socket, answer);
			}
		};

		if (!isDeaf) {
			socket.on('data', serve);
		}

		serve();
	});
	try {
		return await call(server.address);
	} finally {
		server.stop();
	}
}

/** Tries each cut of an answer of this length, and returns the outcomes by ranges of cuts. */
export async function runCuts(length: number, run: (cut: number) => Promise<string>): Promise<Record<string, string>> {
	const outcomes = Array.from<string>({length});
	const cuts = outcomes.keys();
	await Promise.all(Array.from({length: CONCURRENT_CUTS}, async () => {
		for (const cut of cuts) {
			outcomes[cut] = await run(cut);
		}
	}));
	return groupCuts(outcomes);
}

/** Joins neighbouring cuts with the same outcome. */
function groupCuts(outcomes: readonly string[]): Record<string, string> {
	const groups: Record<string, string> = {};
	let first = 0;
	for (const [cut, outcome] of outcomes.entries()) {
		if (outcome !== outcomes[cut + 1]) {
			groups[first === cut ? `${cut}` : `${first} to ${cut}`] = outcome;
			first = cut + 1;
		}
	}

	return groups;
}
