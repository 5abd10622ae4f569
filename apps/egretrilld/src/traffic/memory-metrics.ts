import type {Metrics} from '@egretrill/balancer';
import type {MemoryBudget} from '@egretrill/common';

/** Metrics of the bytes that a host holds for requests and answers. */
export class MemoryMetrics {
	private readonly held;
	private readonly evictions;
	private reportedEvictions = 0;

	constructor(private readonly memory: MemoryBudget, metrics: Metrics) {
		this.held = metrics.createGauge({name: 'egretrill_held_bytes', help: 'Bytes of requests and answers that are held in memory.'});
		this.evictions = metrics.createCounter({name: 'egretrill_memory_evictions_total', help: 'Incomplete requests and answers that were ended to make room in memory.'});
	}

	/** Takes the current values over. */
	update(): void {
		this.held.set(this.memory.heldBytes);
		this.evictions.add(this.memory.evictedCount - this.reportedEvictions);
		this.reportedEvictions = this.memory.evictedCount;
	}
}
