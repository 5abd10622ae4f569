import type {Clock, Random} from '@egretrill/common';
import type {ColdBasis} from './cold-sends.js';
import type {PromptMemoryOptions} from './prompt-memory.js';
import type {TargetPricingOptions} from './target-pricing.js';

/** What an entry host supplies to its table of targets. */
export type TargetTableOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly zone: string;
	/** Requests per second that this host may send to a cold target of a service. */
	readonly getColdRate: (service: string) => number;
	/** Called with sends to cold targets, by what they were based on. */
	readonly onColdSends?: (basis: ColdBasis, count: number) => void;
	/** Number of requests that a target runs concurrently if its service has engines. */
	readonly getBatchSlots: (service: string) => number | undefined;
	/** What is known of the speeds of targets; without it, targets are compared by their load only. */
	readonly pricing?: TargetPricingOptions;
	/** The engines' memory for prompt parts; without it, what was sent to a target counts as kept. */
	readonly promptMemory?: PromptMemoryOptions;
};
