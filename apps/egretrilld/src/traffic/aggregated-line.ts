import {z} from 'zod';

const count = z.int().nonnegative();

/** The line that holds the decisions of a second that have no line of their own. */
export const AggregatedLine = z.object({
	configVersion: count.optional(),
	/** Age of this host's knowledge when it was oldest. */
	knowledgeAgeMs: z.number().optional(),
	/** Requests that were answered, and those of them whose ids the line does not hold. */
	answered: count.optional(),
	leftOut: count.optional(),
	/** Entries by target, each an id and facts. */
	answers: z.record(z.string(), z.string()).optional(),
	/** Ids by cause, and how many more there were. */
	failures: z.record(z.string(), z.string()).optional(),
});
export type AggregatedLine = z.infer<typeof AggregatedLine>;

/** Quotes, colon and comma around the entries under one name. */
export const NAME_SEPARATOR_BYTES = 6;
