import type {Random} from '@egretrill/common';
import {z} from 'zod';
import {FaultKind} from '../types.js';
import {HOST_FAULT_SPACING_MS} from './constants.js';
import {randomBetween, createRandomSource, pick} from './pick.js';

export const PlannedFault = z.object({
	faultKind: FaultKind,
	/** Id of a host, a zone or a target, or `from>to` (host ids) for a one-way cut. */
	subject: z.string(),
	atMs: z.number(),
	durationMs: z.number(),
});
export type PlannedFault = z.infer<typeof PlannedFault>;

export type FaultScope = {readonly hosts: readonly string[]; readonly zones: readonly string[]; readonly targets: readonly string[]};

/** Kinds of fault that are planned one after another; faults of different sequences overlap. */
const faultSequences: ReadonlyArray<readonly FaultKind[]> = [['kill-host', 'pause-host'], ['cut-zone', 'cut-one-way'], ['kill-target', 'leave-target'], ['stop-host']];

const hostKinds: ReadonlySet<FaultKind> = new Set(['kill-host', 'pause-host', 'stop-host']);

function pickSubject(random: Random, kind: FaultKind, {hosts, zones, targets}: FaultScope): string {
	if (hostKinds.has(kind)) {
		return pick(random, hosts);
	}

	if (kind === 'cut-zone') {
		return pick(random, zones);
	}

	if (kind === 'cut-one-way') {
		const from = pick(random, hosts);
		return `${from}>${pick(random, hosts.filter(to => to !== from))}`;
	}

	return pick(random, targets);
}

function overlapsHostFault(planned: readonly PlannedFault[], {faultKind, subject, atMs, durationMs}: PlannedFault): boolean {
	return hostKinds.has(faultKind) && planned.some(other => other.subject === subject
		&& other.atMs < atMs + durationMs + HOST_FAULT_SPACING_MS && atMs < other.atMs + other.durationMs + HOST_FAULT_SPACING_MS);
}

/** Creates the fault plan of one run; the same seed gives the same plan. */
export function planFaults(seed: number, durationMs: number, scope: FaultScope): readonly PlannedFault[] {
	const random = createRandomSource(seed);
	const planned: PlannedFault[] = [];
	for (const kinds of faultSequences) {
		let atMs = randomBetween(random, 300, 3000);
		while (atMs < durationMs - 500) {
			const faultKind = pick(random, kinds);
			// A leaving target stays for more than the 2 s after which P10 allows no new work.
			const lastsMs = faultKind === 'leave-target' ? randomBetween(random, 2500, 4000) : randomBetween(random, 300, 3500);
			const fault: PlannedFault = {
				faultKind, subject: pickSubject(random, faultKind, scope), atMs: Math.round(atMs), durationMs: Math.round(lastsMs),
			};
			if (!overlapsHostFault(planned, fault)) {
				planned.push(fault);
			}

			// The pause lets requests succeed between two faults of one sequence.
			atMs += lastsMs + randomBetween(random, 1000, 4500);
		}
	}

	return planned.toSorted((a, b) => a.atMs - b.atMs);
}
