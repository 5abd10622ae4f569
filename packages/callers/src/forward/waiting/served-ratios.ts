import type {Clock} from '@egretrill/common';
import {
	FLOOR_RATIO, MIN_ASKED_FOR_RATIO, RATIO_DECAY_STEP_MS, SERVED_RATIO_TIME_CONSTANT_MS,
} from '../constants.js';

type Counts = {asked: number; served: number; decayedMs: number};

/** Requests of a service, and those of one of its kinds or customers. */
export type ServedCounts = {readonly all: Counts; readonly own: Counts};

/** Parts of recent requests that got a slot, by name (a kind or a customer) within a group (a service). Answers overload in which the order of a queue would leave some of them out. */
export class ServedRatios<Name> {
	private readonly groups = new Map<string, {readonly all: Counts; readonly byName: Map<Name, ServedCounts>}>();

	constructor(private readonly clock: Clock) {}

	/** The counts of a name, which are kept for as long as the queue. */
	get(group: string, name: Name): ServedCounts {
		let known = this.groups.get(group);
		if (!known) {
			known = {all: this.createCounts(), byName: new Map()};
			this.groups.set(group, known);
		}

		let counts = known.byName.get(name);
		if (!counts) {
			counts = {all: known.all, own: this.createCounts()};
			known.byName.set(name, counts);
		}

		return counts;
	}

	recordAsked({all, own}: ServedCounts): void {
		this.decay(all).asked += 1;
		this.decay(own).asked += 1;
	}

	recordServed({all, own}: ServedCounts): void {
		this.decay(all).served += 1;
		this.decay(own).served += 1;
	}

	/** Whether a name is served less than the floor, relative to all of its group. */
	isBelowFloor(counts: ServedCounts): boolean {
		return this.getRelative(counts) < FLOOR_RATIO;
	}

	/** Part of a name's requests that got a slot relative to that of its group; 1 while little is known. */
	getRelative({all, own}: ServedCounts): number {
		const ofAll = this.decay(all);
		const ofOwn = this.decay(own);
		return ofOwn.asked < MIN_ASKED_FOR_RATIO || ofAll.served <= 0 ? 1 : ofOwn.served * ofAll.asked / (ofOwn.asked * ofAll.served);
	}

	private createCounts(): Counts {
		return {asked: 0, served: 0, decayedMs: this.clock.now()};
	}

	/** Decays counts in steps, since each request changes several of them. */
	private decay(counts: Counts): Counts {
		const ageMs = this.clock.now() - counts.decayedMs;
		if (ageMs >= RATIO_DECAY_STEP_MS) {
			const factor = Math.exp(-ageMs / SERVED_RATIO_TIME_CONSTANT_MS);
			counts.asked *= factor;
			counts.served *= factor;
			counts.decayedMs += ageMs;
		}

		return counts;
	}
}
