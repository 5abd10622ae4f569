import type {ForwardEndNote} from '@egretrill/callers';
import {z} from 'zod';
import {FACTS_RESERVE_BYTES} from './constants.js';
import {describeAnswer, shortenId} from './describe-answer.js';

const count = z.int().nonnegative();

/** The line that holds the requests answered within a second. */
export const AnswersLine = z.object({
	configVersion: count.optional(),
	/** Age of this host's knowledge when it was oldest. */
	knowledgeAgeMs: z.number(),
	count,
	/** Answered requests whose ids the line does not hold. */
	leftOut: count.optional(),
	/** Entries by target, each an id and facts. */
	answers: z.record(z.string(), z.string()),
});
export type AnswersLine = z.infer<typeof AnswersLine>;

/** Quotes, colon and comma around the entries of one target. */
const TARGET_SEPARATOR_BYTES = 6;

/** Answered requests that wait for their line. */
export class FoldedAnswers {
	private bytes = 0;
	private count = 0;
	private leftOut = 0;
	private configVersion: number | undefined;
	private knowledgeAgeMs = 0;
	private entries = new Map<string, string[]>();

	getBytes(): number {
		return this.bytes;
	}

	/** Adds an answer as far as there is room: with its facts, by its id alone, or only to the count. */
	add(note: ForwardEndNote, knowledgeAgeMs: number, roomBytes: number): void {
		this.configVersion = this.count === 0 ? note.configVersion : this.configVersion;
		this.count += 1;
		this.knowledgeAgeMs = Math.max(this.knowledgeAgeMs, knowledgeAgeMs);
		const {call, targetId = ''} = note;
		const known = this.entries.get(targetId);
		const id = shortenId(call?.attemptId ?? '');
		const entry = roomBytes > FACTS_RESERVE_BYTES ? `${id} ${describeAnswer(note, this.configVersion)}` : id;
		const bytes = entry.length + 1 + (known ? 0 : targetId.length + TARGET_SEPARATOR_BYTES);
		if (bytes > roomBytes) {
			this.leftOut += 1;
			return;
		}

		this.bytes += bytes;
		this.entries.set(targetId, [...known ?? [], entry]);
	}

	/** Removes what was added; undefined when there is nothing to write. */
	take(): AnswersLine | undefined {
		if (this.count === 0) {
			return undefined;
		}

		const {configVersion, count, entries, knowledgeAgeMs, leftOut} = this;
		this.bytes = 0;
		this.count = 0;
		this.leftOut = 0;
		this.knowledgeAgeMs = 0;
		this.entries = new Map();
		return {
			...(configVersion !== undefined && {configVersion}),
			knowledgeAgeMs: Math.round(knowledgeAgeMs),
			count,
			...(leftOut > 0 && {leftOut}),
			answers: Object.fromEntries([...entries].map(([targetId, texts]) => [targetId, texts.join(',')])),
		};
	}
}
