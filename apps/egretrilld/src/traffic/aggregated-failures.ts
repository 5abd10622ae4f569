import {FAILURE_IDS_RESERVE_BYTES} from './constants.js';
import {type AggregatedLine, NAME_SEPARATOR_BYTES} from './aggregated-line.js';

type CauseGroup = {readonly ids: readonly string[]; readonly leftOut: number};

const emptyGroup: CauseGroup = {ids: [], leftOut: 0};

/** Takes the failures of causes for which there is no room. */
const OTHER_CAUSES = 'others';

function formatGroup({ids, leftOut}: CauseGroup): string {
	return [...ids, ...(leftOut > 0 ? [`+${leftOut}`] : [])].join(',');
}

/** Failures that wait for the line of their second. */
export class AggregatedFailures {
	private bytes = 0;
	private groups = new Map<string, CauseGroup>();

	getBytes(): number {
		return this.bytes;
	}

	/** Adds a failure; its id is left out where answered requests need the room. */
	add(cause: string, id: string, availableBytes: number): void {
		const existing = this.groups.get(cause);
		const bytes = id.length + 1 + (existing ? 0 : cause.length + NAME_SEPARATOR_BYTES);
		if (bytes > availableBytes - FAILURE_IDS_RESERVE_BYTES) {
			const name = existing ? cause : OTHER_CAUSES;
			const group = this.groups.get(name) ?? emptyGroup;
			this.groups.set(name, {...group, leftOut: group.leftOut + 1});
			return;
		}

		const group = existing ?? emptyGroup;
		this.bytes += bytes;
		this.groups.set(cause, {...group, ids: [...group.ids, id]});
	}

	/** Removes what was added; undefined when there is nothing to write. */
	flush(): AggregatedLine | undefined {
		const {groups} = this;
		this.bytes = 0;
		this.groups = new Map();
		return groups.size === 0 ? undefined : {failures: Object.fromEntries([...groups].map(([cause, group]) => [cause, formatGroup(group)]))};
	}
}
