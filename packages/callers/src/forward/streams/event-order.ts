import {Result} from 'true-myth';

/** What an event brings: `some` for an id or text, `keep-alive` for other fields or comments alone, `none` for empty lines. */
export type EventContent = 'some' | 'keep-alive' | 'none';

/** What an event tells about its place in a stream. */
export type EventPlace = {readonly id: number | undefined; readonly hasData: boolean; readonly content: EventContent};

/** What is done with an event: `hold` keeps it until `release`, which relays it before the event that releases it. */
export type EventVerdict = 'relay' | 'drop' | 'hold' | 'release';

/** Step between two ids that is never a gap. */
const MIN_ID_STEP = 1;

/**
 * Checks the order of a stream's events over the answers of several targets. Targets promise increasing ids and that a resumed stream goes on after the id
 * that was sent to them, but not which step the ids take: an event may hold several tokens. So a larger step within one answer is no gap; one from the
 * end of an answer to the start of the next is, unless an answer of the stream has made such a step: an earlier one, or this one with its second event, until
 * which the first one is held.
 */
export class EventOrder {
	private lastAnswerId: number | undefined;
	/** First event of a continuation, after a step that none of the stream's answers has made yet. */
	private heldId: number | undefined;
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
		this.heldId = undefined;
		this.isContinuation = this.hasEvents;
	}

	/** Returns what is done with the next event of the answer; an error says why the answer must not be used further. */
	addEvent({id, hasData}: Omit<EventPlace, 'content'>): Result<EventVerdict, string> {
		if (id === undefined) {
			if (hasData && this.isContinuation) {
				return Result.err('An event of a continued stream has no id.');
			}

			this.hasEvents ||= hasData;
			this.endsWithoutId ||= hasData;
			return Result.ok('relay');
		}

		const fault = this.findFault(id);
		if (fault !== undefined) {
			return Result.err(fault);
		}

		const verdict = this.getVerdict(id);
		if (verdict === 'relay' || verdict === 'release') {
			this.deliver(id);
		}

		this.heldId = verdict === 'hold' ? id : undefined;
		this.lastAnswerId = id;
		return Result.ok(verdict);
	}

	/** Returns why the answer may not end here; one that has not reached the last delivered event does not show that the stream has ended. */
	findEndFault(): string | undefined {
		if (this.heldId !== undefined) {
			return this.describeGap(this.heldId);
		}

		const mayEnd = !this.isContinuation || this.lastAnswerId === this.lastId;
		return mayEnd ? undefined : `The answer ended before it continued the stream after event ${this.lastId}.`;
	}

	private findFault(id: number): string | undefined {
		if (this.lastAnswerId !== undefined && id <= this.lastAnswerId) {
			return `Event ${id} follows event ${this.lastAnswerId}.`;
		}

		if (this.heldId !== undefined) {
			return id - this.heldId < this.getStep(this.heldId) ? this.describeGap(this.heldId) : undefined;
		}

		// A target that sends delivered events again must include the last one, or its events are not those that the caller has.
		const leavesOutLast = this.isContinuation && this.lastAnswerId !== undefined && this.lastAnswerId !== this.lastId && id > (this.lastId ?? 0);
		return leavesOutLast ? this.describeGap(id) : undefined;
	}

	private getVerdict(id: number): EventVerdict {
		if (this.heldId !== undefined) {
			return 'release';
		}

		if (this.lastId !== undefined && id <= this.lastId) {
			return 'drop';
		}

		const startsContinuation = this.isContinuation && this.lastAnswerId === undefined;
		return startsContinuation && this.getStep(id) > this.largestStep ? 'hold' : 'relay';
	}

	private deliver(id: number): void {
		// The distance from the start of an answer is no step of its ids.
		if (this.lastAnswerId !== undefined) {
			this.largestStep = Math.max(this.largestStep, id - this.lastAnswerId);
		}

		this.lastId = id;
		this.hasEvents = true;
		this.endsWithoutId = false;
	}

	private describeGap(id: number): string {
		return `The stream was continued after event ${this.lastId} with event ${id}.`;
	}

	private getStep(id: number): number {
		return id - (this.lastId ?? 0);
	}
}
