import type {ForwardEndEvent} from '@egretrill/callers';
import type {BodyFraming} from '@egretrill/common';
import {MAX_LOGGED_NAME_LENGTH} from './constants.js';

const STATUS_OK = 200;
const bodyEndCodes: Readonly<Record<BodyFraming, string>> = {
	length: 'l', chunks: 'k', connection: 'c', none: 'n',
};

/** Truncates a name chosen by a caller and replaces characters that separate or escape the entries of an aggregated line. */
export function sanitizeName(name: string): string {
	return name.slice(0, MAX_LOGGED_NAME_LENGTH).replaceAll(/[^!-~]|[",\\]/g, '_');
}

function describeMs(letter: string, ms: number | undefined): readonly string[] {
	return ms === undefined ? [] : [`${letter}${Math.round(ms)}`];
}

/** Formats the details of an answered request, each with a one-letter prefix; docs/OPERATIONS.md lists them. */
export function describeAnswer(event: ForwardEndEvent, lineConfigVersion: number | undefined): string {
	const {status = STATUS_OK, bodyEnd, bodyBytes, waitMs, tookMs, firstMs, longestPauseMs, attempts, configVersion} = event;
	return [
		...(status === STATUS_OK ? [] : [`s${status}`]),
		...(bodyEnd ? [`${bodyEndCodes[bodyEnd]}${bodyBytes ?? ''}`] : []),
		...(waitMs < 0.5 ? [] : describeMs('w', waitMs)),
		...describeMs('t', tookMs),
		...describeMs('f', firstMs),
		...describeMs('p', longestPauseMs),
		...(attempts === 1 ? [] : [`a${attempts}`]),
		...(configVersion === lineConfigVersion ? [] : [`v${configVersion}`]),
	].join(' ');
}
