import {type Announcement, Announcement as AnnouncementSchema} from '@egretrill/common';
import type {TargetDirectory} from '../../src/routing/index.js';

type Changes = Partial<Omit<Announcement, 'load'>> & {load?: Partial<Announcement['load']>};

/** Creates an engine announcement with one resident model. */
export function announce(targetId: string, changes: Changes = {}): Announcement {
	return AnnouncementSchema.parse({
		targetId,
		startId: `${targetId}-s1`,
		zone: 'a',
		address: '10.0.0.1:7000',
		kind: 'engine',
		resident: [{model: 'm1', version: 'v1', adapters: ['lora-1']}],
		...changes,
		load: {
			running: 0, waiting: 0, limit: 16, kvUsedRatio: 0, ...changes.load,
		},
	});
}

/** Announces targets and marks their cold-start ramp as completed. */
export function announceWarm(directory: TargetDirectory, ...announcements: readonly Announcement[]): void {
	for (const announcement of announcements) {
		directory.recordAnnouncement(announcement);
		directory.recordWarmth(announcement.targetId, announcement.startId, {generation: 0, warm: true});
	}
}

/** A query for model m1 from zone a, with three zones in service. */
export const query = {
	model: 'm1',
	hostZone: 'a',
	zoneStates: {
		a: {state: 'in-service', distanceMs: 0}, b: {state: 'in-service', distanceMs: 1}, c: {state: 'in-service', distanceMs: 1},
	},
} as const;

export const request = {
	model: 'm1', known: true, prompt: '', excluded: [],
};
