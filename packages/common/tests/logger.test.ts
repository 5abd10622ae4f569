import {once} from 'node:events';
import {PassThrough} from 'node:stream';
import {expect} from 'chai';
import {createLogger} from '../src/index.js';

describe('logger', () => {
	// Guards against log lines without the cause of a failure, since JSON.stringify omits the message of an error.
	it('writes the message and the stack of an error', async () => {
		const sink = new PassThrough();
		createLogger('test', 'info', sink).error({err: new TypeError('the cause')}, 'It failed.');
		const [bytes] = await once(sink, 'data') as [Uint8Array];
		const {err, msg} = JSON.parse(String(bytes)) as {err: Record<string, string>; msg: string};
		expect({...err, stack: err.stack?.split('\n')[0], msg}).toMatchSnapshot();
	});
});
