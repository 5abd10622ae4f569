import {connect} from 'node:net';

const HEAD_END = '\r\n\r\n';

/** What a caller received, and whether it appears to be a complete answer; `content` is the body without chunked encoding, also when it is cut. */
export type ReceivedAnswer = {readonly status: number; readonly head: string; readonly body: string; readonly content: string; readonly isWhole: boolean};

/** Joins the data of chunks, and reports whether the last chunk is there. */
function joinChunks(text: string): {readonly joined: string; readonly isEnded: boolean} {
	let rest = text;
	let joined = '';
	for (;;) {
		const lineEnd = rest.indexOf('\r\n');
		const size = Number.parseInt(rest.slice(0, Math.max(0, lineEnd)), 16);
		if (lineEnd === -1 || Number.isNaN(size)) {
			return {joined, isEnded: false};
		}

		if (size === 0) {
			return {joined, isEnded: rest.slice(lineEnd) === HEAD_END};
		}

		joined += rest.slice(lineEnd + 2, lineEnd + 2 + size);
		rest = rest.slice(lineEnd + 4 + size);
	}
}

type Body = Pick<ReceivedAnswer, 'body' | 'content'> & {readonly isEnded: boolean};

/** Decodes a body; one without a length or chunks ends with the connection, unless that was reset. */
function readBody(head: string, bytes: string, isReset: boolean): Body {
	if (/^transfer-encoding: chunked$/imv.test(head)) {
		const {joined, isEnded} = joinChunks(bytes);
		return {body: isEnded ? joined : bytes, content: joined, isEnded};
	}

	const length = /^content-length: (?<length>\d+)$/imv.exec(head)?.groups?.length;
	return {body: bytes, content: bytes, isEnded: length === undefined ? !isReset : bytes.length === Number(length)};
}

/** Sends one request on a new connection and reads until the host closes it. */
export async function callRaw(port: number, {method = 'GET', path = '/', version = '1.1', body = '', attemptId = 'a1', headers = ''} = {}): Promise<ReceivedAnswer> {
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
	socket.write(`${method} ${path} HTTP/${version}\r\nHost: app.test\r\nattempt: ${attemptId}\r\n${headers}Connection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
	await closed;
	const headEnd = text.indexOf(HEAD_END);
	const head = text.slice(0, Math.max(0, headEnd));
	const {body: received, content, isEnded} = readBody(head, text.slice(headEnd + HEAD_END.length), isReset);
	const hasBody = method !== 'HEAD' && !/^HTTP\/1.1 (?:204|304) /v.test(head);
	return {
		status: Number(/^HTTP\/1.1 (?<status>\d+)/v.exec(head)?.groups?.status ?? 0), head, body: received, content, isWhole: headEnd !== -1 && (!hasBody || isEnded),
	};
}
