import {Result} from 'true-myth';

/** What an event tells about its place in a stream. */
export type EventPlace = {readonly id: number | undefined; readonly hasData: boolean};

/** Step between two ids that is never a gap. */
const MIN_ID_STEP = 1;

/**
 * Checks the order of a stream's events over the answers of several targets. Targets promise increasing ids and that a resumed stream goes on after the id
 * that was sent to them, but not which step the ids take: an event may hold several tokens. So a larger step within one answer is no gap; one from the
 * end of an answer to the start of the next is, if the stream has made no such step before.
 */
export class EventOrder {
	private lastAnswerId: number | undefined;
	private largestStep = MIN_ID_STEP;
	private hasEvents = false;
	private endsWithoutId = false;
	private isContinuation = false;

	constructor(private lastId: number | undefined) {}

	/** Id of the last event that the caller has received. */
	get lastEventId(): number | undefined {
		return this.lastId;
	}

	/** Whether another target can be told where to go on; the place of an event without an id is unknown. */
	canContinue(): boolean {
		return !this.endsWithoutId;
	}

	/** Starts the checks of a further answer. */
	beginAnswer(): void {
		this.lastAnswerId = undefined;
		this.isContinuation = this.hasEvents;
	}

	/** Returns whether the next event of the answer is new to the caller; an error says why the answer must not be used further. */
	addEvent({id, hasData}: EventPlace): Result<boolean, string> {
		if (id === undefined) {
			if (hasData && this.isContinuation) {
				return Result.err('An event of a continued stream has no id.');
			}

			this.hasEvents ||= hasData;
			this.endsWithoutId ||= hasData;
			return Result.ok(true);
		}

		const fault = this.findFault(id);
		if (fault !== undefined) {
			return Result.err(fault);
		}

		this.lastAnswerId = id;
		const isNew = this.lastId === undefined || id > this.lastId;
		if (isNew) {
			this.largestStep = Math.max(this.largestStep, this.getStep(id));
			this.lastId = id;
			this.hasEvents = true;
			this.endsWithoutId = false;
		}

		return Result.ok(isNew);
	}

	/** Whether the answer may end here; one that has not reached the last delivered event does not show that the stream has ended. */
	mayEnd(): boolean {
		return !this.isContinuation || this.lastAnswerId === this.lastId;
	}

	private findFault(id: number): string | undefined {
		if (this.lastAnswerId !== undefined && id <= this.lastAnswerId) {
			return `Event ${id} follows event ${this.lastAnswerId}.`;
		}

		if (!this.isContinuation || this.lastAnswerId === this.lastId || id <= (this.lastId ?? 0)) {
			return undefined;
		}

		// A target that sends delivered events again must include the last one, or its events are not those that the caller has.
		const isGap = this.lastAnswerId !== undefined || this.getStep(id) > this.largestStep;
		return isGap ? `The stream was continued after event ${this.lastId} with event ${id}.` : undefined;
	}

	private getStep(id: number): number {
		return id - (this.lastId ?? 0);
	}
}
