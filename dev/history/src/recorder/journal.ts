import {getMonotonicMs} from '@egretrill/stand-ins';
import type {HistoryEvent} from '../types.js';

/** An event before the journal adds its time. */
export type NewEvent = HistoryEvent extends infer Event ? (Event extends HistoryEvent ? Omit<Event, 'atMs'> : never) : never;

/** Records the events of all tasks of one run and creates their ids. */
export class Journal {
	readonly events: HistoryEvent[] = [];
	private lastId = 0;

	record(event: NewEvent): void {
		this.events.push({...event, atMs: getMonotonicMs()});
	}

	createId(prefix: string): string {
		this.lastId += 1;
		return `${prefix}-${this.lastId}`;
	}
}
