import {z} from 'zod';

const count = z.int().nonnegative();

/** Line that aggregates the decisions of a second that have no separate line. */
export const AggregatedLine = z.object({
	configVersion: count.optional(),
	/** Greatest age of this host's configuration and targets at any of the decisions. */
	knowledgeAgeMs: z.number().optional(),
	/** Number of answered requests, and of those whose ids are omitted from the line. */
	answered: count.optional(),
	leftOut: count.optional(),
	/** Entries by target, each with an id and details. */
	answers: z.record(z.string(), z.string()).optional(),
	/** Ids by cause, followed by the number of omitted ids. */
	failures: z.record(z.string(), z.string()).optional(),
});
export type AggregatedLine = z.infer<typeof AggregatedLine>;

/** Quotes, colon and comma around the entries under one name. */
export const NAME_SEPARATOR_BYTES = 6;
