import {type AggregatedLine, NAME_SEPARATOR_BYTES} from './aggregated-line.js';
import {FAILURE_IDS_RESERVE_BYTES} from './constants.js';

type Group = {readonly ids: readonly string[]; readonly leftOut: number};

const emptyGroup: Group = {ids: [], leftOut: 0};

/** Group for failures whose cause does not fit the available bytes. */
const OTHER_CAUSES = 'others';

function describeGroup({ids, leftOut}: Group): string {
	return [...ids, ...(leftOut > 0 ? [`+${leftOut}`] : [])].join(',');
}

/** Failures collected for the next aggregated line. */
export class AggregatedFailures {
	private bytes = 0;
	private groups = new Map<string, Group>();

	getBytes(): number {
		return this.bytes;
	}

	/** Adds a failure; its id is omitted when the remaining bytes are reserved for answered requests. */
	add(cause: string, id: string, roomBytes: number): void {
		const known = this.groups.get(cause);
		const bytes = id.length + 1 + (known ? 0 : cause.length + NAME_SEPARATOR_BYTES);
		if (bytes > roomBytes - FAILURE_IDS_RESERVE_BYTES) {
			const name = known ? cause : OTHER_CAUSES;
			const group = this.groups.get(name) ?? emptyGroup;
			this.groups.set(name, {...group, leftOut: group.leftOut + 1});
			return;
		}

		const group = known ?? emptyGroup;
		this.bytes += bytes;
		this.groups.set(cause, {...group, ids: [...group.ids, id]});
	}

	/** Returns and clears the collected failures; undefined if there are none. */
	flush(): AggregatedLine | undefined {
		const {groups} = this;
		this.bytes = 0;
		this.groups = new Map();
		return groups.size === 0 ? undefined : {failures: Object.fromEntries([...groups].map(([cause, group]) => [cause, describeGroup(group)]))};
	}
}
