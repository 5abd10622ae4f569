import {type CrashAnswer, type CrashReport, CrashTransport} from '@egretrill/callers';
import type {ControlFollower} from './control-follower.js';

/** Sends the evidence of an entry host to the leader that it follows. */
export class FollowerCrashTransport extends CrashTransport {
	constructor(private readonly follower: Pick<ControlFollower, 'sendCrashes'>) {
		super();
	}

	override async send(report: CrashReport): Promise<CrashAnswer | undefined> {
		return this.follower.sendCrashes(report);
	}
}
