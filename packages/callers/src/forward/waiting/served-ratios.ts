import {type Clock, DecayingCounts} from '@egretrill/common';
import {FLOOR_RATIO, MIN_ASKED_FOR_RATIO, SERVED_RATIO_TIME_CONSTANT_MS} from '../constants.js';

/** Parts of recent requests that got a slot, by name (a kind or a customer) within a group (a service). Answers overload in which the order of a queue would leave some of them out. */
export class ServedRatios {
	private readonly asked: DecayingCounts;
	private readonly served: DecayingCounts;

	constructor(clock: Clock) {
		this.asked = new DecayingCounts(clock, SERVED_RATIO_TIME_CONSTANT_MS);
		this.served = new DecayingCounts(clock, SERVED_RATIO_TIME_CONSTANT_MS);
	}

	recordAsked(group: string, name: string): void {
		this.asked.add(group, 1);
		this.asked.add(`${group}\n${name}`, 1);
	}

	recordServed(group: string, name: string): void {
		this.served.add(group, 1);
		this.served.add(`${group}\n${name}`, 1);
	}

	/** Whether a name is served less than the floor, relative to all of its group. */
	isBelowFloor(group: string, name: string): boolean {
		return this.getRelative(group, name) < FLOOR_RATIO;
	}

	/** Part of a name's requests that got a slot relative to that of its group; 1 while little is known. */
	getRelative(group: string, name: string): number {
		const asked = this.asked.get(`${group}\n${name}`);
		const servedOfAll = this.served.get(group);
		return asked < MIN_ASKED_FOR_RATIO || servedOfAll <= 0
			? 1
			: this.served.get(`${group}\n${name}`) * this.asked.get(group) / (asked * servedOfAll);
	}
}
