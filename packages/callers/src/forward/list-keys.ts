import {
	getFingerprint, getPartKeys, getRequestKey, type RankedKey,
} from '../crashes/index.js';
import type {ForwardContext} from './forward-context.js';

type KeyedRequest = Pick<ForwardContext, 'call' | 'customer' | 'body'>;

/** Keys under which the end of a target counts against a request: its shared prompt parts, and the request as a whole. */
export function listAllKeys({call: {method, hostName, url, promptParts}, customer, body}: KeyedRequest): readonly RankedKey[] {
	return [...getPartKeys(promptParts.map(({id}) => id)), getRequestKey(getFingerprint([customer?.name ?? '', method, hostName, url], body), body.length)];
}

/** Keys of a request that may have evidence against them. The digest of the whole request is computed only when one like it is known. */
export function listKeys({deps: {crashGate}, ...context}: KeyedRequest & Pick<ForwardContext, 'deps' | 'progress'>): readonly RankedKey[] {
	const {progress, call: {promptParts}, body} = context;
	if (crashGate.mayKnowRequest(body.length)) {
		progress.allKeys ??= listAllKeys(context);
		return progress.allKeys;
	}

	progress.partKeys ??= getPartKeys(promptParts.map(({id}) => id));
	return progress.partKeys;
}
