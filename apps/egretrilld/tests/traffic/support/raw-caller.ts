import {connect} from 'node:net';

const HEAD_END = '\r\n\r\n';

/** What a caller received, and whether it appears to be a complete answer. */
export type ReceivedAnswer = {readonly status: number; readonly head: string; readonly body: string; readonly isWhole: boolean};

/** Joins the data of chunks; undefined when the last chunk is missing. */
function joinChunks(text: string): string | undefined {
	let rest = text;
	let joined = '';
	for (;;) {
		const lineEnd = rest.indexOf('\r\n');
		const size = Number.parseInt(rest.slice(0, Math.max(0, lineEnd)), 16);
		if (lineEnd === -1 || Number.isNaN(size)) {
			return undefined;
		}

		if (size === 0) {
			return rest.slice(lineEnd) === HEAD_END ? joined : undefined;
		}

		joined += rest.slice(lineEnd + 2, lineEnd + 2 + size);
		rest = rest.slice(lineEnd + 4 + size);
	}
}

/** Sends one request on a new connection and reads until the host closes it. */
export async function callRaw(port: number, {method = 'GET', version = '1.1', body = '', attemptId = 'a1'} = {}): Promise<ReceivedAnswer> {
	const socket = connect({port, host: '127.0.0.1'});
	let text = '';
	let isReset = false;
	socket.on('data', (bytes: Uint8Array) => {
		text += bytes.toString();
	});
	socket.once('end', () => {
		// A reset that is read together with the last bytes is reported as an orderly end, but leaves no remote address.
		isReset = socket.remoteAddress === undefined;
	});
	socket.on('error', () => {
		isReset = true;
	});
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	socket.write(`${method} / HTTP/${version}\r\nHost: app.test\r\nattempt: ${attemptId}\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
	await closed;
	const headEnd = text.indexOf(HEAD_END);
	const head = text.slice(0, Math.max(0, headEnd));
	const rest = text.slice(headEnd + HEAD_END.length);
	const length = /^content-length: (?<length>\d+)$/imv.exec(head)?.groups?.length;
	const isChunked = /^transfer-encoding: chunked$/imv.test(head);
	const chunks = isChunked ? joinChunks(rest) : undefined;
	const hasBody = method !== 'HEAD' && !/^HTTP\/1.1 (?:204|304) /v.test(head);
	const isEnded = isChunked ? chunks !== undefined : (length === undefined ? !isReset : rest.length === Number(length));
	return {
		status: Number(/^HTTP\/1.1 (?<status>\d+)/v.exec(head)?.groups?.status ?? 0), head, body: chunks ?? rest, isWhole: headEnd !== -1 && (!hasBody || isEnded),
	};
}
