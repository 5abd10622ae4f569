import {expect} from 'chai';
import {parseRetryAfterMs} from '../src/index.js';

const NOW_MS = Date.parse('Sun, 06 Dec 2026 08:00:00 GMT');

describe('parseRetryAfterMs', () => {
	// Guards against a target that gets requests in the time for which it wants none, and against one that a damaged value takes out of service.
	it('reads seconds and dates, and ignores damaged values', () => {
		const cases: ReadonlyArray<readonly [name: string, values: readonly string[], date?: string]> = [
			['seconds', ['3']],
			['fractional', ['0.25']],
			['zero', ['0']],
			['negative', ['-4']],
			['none', []],
			['empty', ['']],
			['text', ['soon']],
			['exponent', ['1e9']],
			['infinite', ['Infinity']],
			['longer than any pause', ['99999999999']],
			['doubled', ['2', '5']],
			['doubled in one line', ['5, 2']],
			['damaged beside valid', ['x', '2']],
			['list with a damaged part', ['7, 1.2.3']],
			['date', ['Sun, 06 Dec 2026 08:00:07 GMT']],
			['past date', ['Sun, 06 Dec 2026 07:00:00 GMT']],
			['far date', ['Tue, 06 Dec 2044 08:00:00 GMT']],
			['date of a target whose clock is an hour ahead', ['Sun, 06 Dec 2026 09:00:07 GMT'], 'Sun, 06 Dec 2026 09:00:00 GMT'],
			['damaged date', ['Sun, 06 Dec']],
			['date beside a damaged date header', ['Sun, 06 Dec 2026 08:00:07 GMT'], 'today'],
		];
		expect(Object.fromEntries(cases.map(([name, values, date]) => [name, parseRetryAfterMs(values, date, NOW_MS) ?? 'none']))).toMatchSnapshot();
	});
});
