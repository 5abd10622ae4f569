import type {ShortageFigures} from '@egretrill/callers';
import type {Clock, Logger} from '@egretrill/common';

/** Time between two lines, and models that each names. */
const LINE_INTERVAL_MS = 5000;
const MAX_LOGGED_MODELS = 5;
const MAX_LOGGED_NAME_LENGTH = 64;

function countWaiting(kinds: ShortageFigures[number][3]): number {
	let waiting = 0;
	for (const kind of kinds) {
		waiting += kind[2];
	}

	return waiting;
}

/** Names the models for which most requests wait on all hosts, from time to time while there are any. */
export class ShortageLog {
	private lastMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock, private readonly logger: Logger) {}

	record(figures: ShortageFigures): void {
		const nowMs = this.clock.now();
		if (figures.length === 0 || nowMs - this.lastMs < LINE_INTERVAL_MS) {
			return;
		}

		this.lastMs = nowMs;
		const models = figures.map(([service, model, slotsPerSecond, kinds]) => ({
			service, model: model.slice(0, MAX_LOGGED_NAME_LENGTH), slotsPerSecond, waiting: countWaiting(kinds),
		}));
		const most = models.toSorted((a, b) => b.waiting - a.waiting).slice(0, MAX_LOGGED_MODELS);
		this.logger.info({models: models.length, most}, 'Requests wait for slots of models.');
	}
}
