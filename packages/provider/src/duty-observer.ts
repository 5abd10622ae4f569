import type {CallOutcome} from './types.js';

/** An event of the duties, for metrics. */
export type DutyEvent =
	| {readonly kind: 'call'; readonly duty: 'usage' | 'engines'; readonly outcome: CallOutcome; readonly tookMs: number}
	/** A window was settled; `isComplete` if all hosts had reported it. */
	| {readonly kind: 'settled'; readonly isComplete: boolean}
	/** A report was confirmed so long after the end of its window. */
	| {readonly kind: 'confirmed'; readonly delayMs: number}
	/** Number of settled windows that are not confirmed. */
	| {readonly kind: 'unconfirmed'; readonly windows: number}
	/** Number of engines last ordered for a zone. */
	| {readonly kind: 'ordered'; readonly service: string; readonly zone: string; readonly count: number};

/** Receives the events of the duties. */
export abstract class DutyObserver {
	abstract record(event: DutyEvent): void;
}
