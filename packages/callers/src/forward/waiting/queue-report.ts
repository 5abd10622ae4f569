import {MAX_MODEL_KINDS} from '../constants.js';
import type {RequestKind} from './fleet-shortage.js';
import {
	isReportable, type KindCounts, type QueueReport, splitQueueKey,
} from './shortage-figures.js';
import type {SlotRequirements} from './slot-source.js';
import type {WaitReason} from './wait-forecast.js';

/** Number of requests that wait for a copy of a model, and of those that found all copies full (`crowded`). */
export type ModelBacklog = {readonly service: string; readonly model: string | undefined; readonly waiting: number; readonly crowded: number};

/** A request that waits, or a refused caller that is expected back. */
export type BacklogEntry = {readonly requirements: SlotRequirements; readonly queueKey: string; readonly kind: RequestKind; readonly reason: WaitReason};

/** Whether a request lacks a model or adapter, rather than room at the targets that hold them. */
export function needsLoad(reason: WaitReason): boolean {
	return reason === 'none' || reason === 'adapter-missing';
}

/** Counts requests by model. Those that only lack an adapter are left out, since they need no further copy of the model. */
export function countByModel(entries: Iterable<BacklogEntry>): readonly ModelBacklog[] {
	const counts = new Map<string, ModelBacklog>();
	for (const {requirements: {service, model}, queueKey, reason} of entries) {
		if (reason === 'adapter-missing') {
			continue;
		}

		const known = counts.get(queueKey) ?? {
			service, model, waiting: 0, crowded: 0,
		};
		const isCrowded = !needsLoad(reason);
		counts.set(queueKey, {...known, waiting: known.waiting + Number(!isCrowded), crowded: known.crowded + Number(isCrowded)});
	}

	return [...counts.values()];
}

type ModelKinds = {readonly service: string; readonly model: string; readonly kinds: Map<string, KindCounts>};

/** Requests to be counted by model and kind. */
export type KindEntries = {readonly waiting: Iterable<BacklogEntry>; readonly returning: Iterable<BacklogEntry>; readonly arrived: Iterable<ArrivedCount>};

/** Number of requests of a kind that arrived. */
export type ArrivedCount = Pick<BacklogEntry, 'queueKey' | 'kind'> & {readonly count: number};

/** Counts requests by model and kind, for the leader's sums. */
export function countByKind({waiting, returning, arrived}: KindEntries): QueueReport['waiting'] {
	const models = new Map<string, ModelKinds>();
	const add = ({queueKey, kind: {priority, targetLatencyMs}}: Pick<BacklogEntry, 'queueKey' | 'kind'>, change: readonly [waiting: number, returning: number, arrived: number]): void => {
		const [service = '', model = ''] = splitQueueKey(queueKey);
		const known = models.get(queueKey) ?? {service, model, kinds: new Map<string, KindCounts>()};
		const key = `${priority} ${targetLatencyMs}`;
		const counts: KindCounts = known.kinds.get(key) ?? [priority, targetLatencyMs, 0, 0, 0];
		known.kinds.set(key, [priority, targetLatencyMs, counts[2] + change[0], counts[3] + change[1], counts[4] + change[2]]);
		models.set(queueKey, known);
	};

	for (const entry of waiting) {
		add(entry, [1, 0, 0]);
	}

	for (const entry of returning) {
		add(entry, [0, 1, 0]);
	}

	for (const entry of arrived) {
		add(entry, [0, 0, entry.count]);
	}

	return [...models].filter(([queueKey]) => isReportable(queueKey)).map(([, {service, model, kinds}]) => [service, model, [...kinds.values()].slice(0, MAX_MODEL_KINDS)]);
}
