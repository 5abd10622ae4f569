import {randomUUID} from 'node:crypto';
import {MAX_TARGETS, MIN_SPEED_CHANGE_RATIO} from './constants.js';
import type {ProcessSpeed} from './speed-merger.js';

/** Revision of the leader's speeds that a host has applied; the origin identifies the term of the leader. */
export type KnownSpeeds = {readonly origin: string; readonly revision: number};

/** Speeds that have changed; one of 0 is unknown again. */
export type SpeedUpdate = KnownSpeeds & {readonly changed: readonly ProcessSpeed[]};

type PublishedSpeed = ProcessSpeed & {readonly revision: number};

/** The leader's speeds with the revision of their last change, so that each host is sent only what it has not received. */
export class SpeedUpdates {
	private readonly origin = randomUUID();
	private revision = 0;
	private readonly published = new Map<string, PublishedSpeed>();

	/** Publishes the current speeds; small changes wait until they add up. */
	publish(speeds: readonly ProcessSpeed[]): void {
		const revision = this.revision + 1;
		const ids = new Set(speeds.map(({targetId}) => targetId));
		const missing = [...this.published.values()].filter(({targetId, speed}) => speed > 0 && !ids.has(targetId)).map(known => ({...known, speed: 0}));
		for (const {targetId, startedAtMs, speed} of [...missing, ...speeds]) {
			const known = this.published.get(targetId);
			if (known?.startedAtMs !== startedAtMs || Math.abs(speed - known.speed) > known.speed * MIN_SPEED_CHANGE_RATIO) {
				this.revision = revision;
				// Speeds are kept in the order of their last change.
				this.published.delete(targetId);
				this.published.set(targetId, {
					targetId, startedAtMs, speed, revision,
				});
			}
		}

		this.dropOldest();
	}

	/** Returns what has changed since the revision that a host knows, or all speeds of a term that it does not know; undefined if there is nothing to tell. */
	getUpdate(known: KnownSpeeds | undefined): SpeedUpdate | undefined {
		const sinceRevision = known?.origin === this.origin ? known.revision : 0;
		const isNewLeader = known !== undefined && known.origin !== this.origin;
		if (sinceRevision === this.revision && !isNewLeader) {
			return undefined;
		}

		const changed = [...this.published.values()].filter(({revision}) => revision > sinceRevision);
		return {origin: this.origin, revision: this.revision, changed};
	}

	/** Keeps at most as many targets as one update may name; those whose speed is unknown again go first. */
	private dropOldest(): void {
		const excess = Math.max(0, this.published.size - MAX_TARGETS);
		const byUse = [...this.published.values()].toSorted((a, b) => Number(a.speed > 0) - Number(b.speed > 0));
		for (const {targetId} of byUse.slice(0, excess)) {
			this.published.delete(targetId);
		}
	}
}
