/* A call over a new connection, as the operator and engines make them. */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';

/** Resolves with the status, headers and text of the answer; rejects without a complete one in time. */
export async function call(url, {method, json, body, headers = {}, timeoutMs = 5000, agent = false} = {}) {
	const text = json === undefined ? body : JSON.stringify(json);
	return new Promise((resolve, reject) => {
		const req = request(url, {
			method: method ?? (text === undefined ? 'GET' : 'POST'),
			agent,
			headers: {...headers, ...(json !== undefined && {'content-type': 'application/json'}), ...(text !== undefined && {'content-length': Buffer.byteLength(text)})},
		});
		const timer = setTimeout(() => {
			req.destroy(new Error(`No answer within ${timeoutMs} ms.`));
		}, timeoutMs);
		req.on('error', err => {
			clearTimeout(timer);
			reject(Object.assign(err, {isKept: req.reusedSocket}));
		});
		req.once('response', res => {
			const chunks = [];
			res.on('data', chunk => chunks.push(chunk));
			res.once('close', () => {
				clearTimeout(timer);
				if (res.complete) {
					resolve({status: res.statusCode, headers: res.headers, text: Buffer.concat(chunks).toString()});
				} else {
					reject(new Error('The answer ended early.'));
				}
			});
			res.on('error', () => undefined);
		});
		req.end(text);
	});
}
