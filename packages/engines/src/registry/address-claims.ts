import {ADDRESS_PROOF_MS, ADDRESS_SILENCE_MS} from './constants.js';

/** A target that has not ended and names an address. */
export type AddressClaim = {
	readonly targetId: string;
	readonly startedAtMs: number;
	readonly isLeaving: boolean;
	/** Position among the targets in the order of their first registration at the address. */
	readonly order: number;
	/** Since when the target has registered without a gap of `ADDRESS_SILENCE_MS`. */
	readonly steadySinceMs: number;
	readonly receivedMs: number;
};

function getLatest(claims: readonly AddressClaim[]): AddressClaim | undefined {
	return claims.toSorted((first, second) => second.startedAtMs - first.startedAtMs || first.order - second.order)[0];
}

function getFirst(claims: readonly AddressClaim[]): AddressClaim | undefined {
	return claims.toSorted((first, second) => first.order - second.order)[0];
}

/** Returns since when a target has registered without a gap, after a further registration. */
export function getSteadySinceMs(receivedMs: number, last: Pick<AddressClaim, 'receivedMs' | 'steadySinceMs'> | undefined): number {
	return last === undefined || receivedMs - last.receivedMs > ADDRESS_SILENCE_MS ? receivedMs : last.steadySinceMs;
}

/**
 * Returns the target that has the address: the first one that goes on registering, otherwise the one that started last. A target that lost the address to
 * another one gets it back only after several registrations, since a single one may be a delayed registration of a dead process.
 */
export function chooseHolder(claims: readonly AddressClaim[], holderId: string | undefined, nowMs: number): string | undefined {
	const present = claims.filter(({receivedMs}) => nowMs - receivedMs <= ADDRESS_SILENCE_MS);
	if (present.length === 0) {
		return holderId ?? getLatest(claims)?.targetId;
	}

	const staying = present.filter(({isLeaving}) => !isLeaving);
	const usable = staying.length > 0 ? staying : present;
	const proven = usable.filter(({targetId, receivedMs, steadySinceMs}) => targetId === holderId || receivedMs - steadySinceMs >= ADDRESS_PROOF_MS);
	return (getFirst(proven) ?? getLatest(usable))?.targetId;
}
