import type {ForwardEndEvent} from '@egretrill/callers';
import {type AggregatedLine, NAME_SEPARATOR_BYTES} from './aggregated-line.js';
import {ANSWER_DETAILS_RESERVE_BYTES} from './constants.js';
import {describeAnswer, sanitizeName} from './describe-answer.js';

/** Answered requests collected for the next aggregated line. */
export class AggregatedAnswers {
	private bytes = 0;
	private count = 0;
	private leftOut = 0;
	private configVersion: number | undefined;
	private knowledgeAgeMs = 0;
	private entries = new Map<string, string[]>();

	getBytes(): number {
		return this.bytes;
	}

	/** Adds an answer, depending on the available bytes with its details, by its id alone, or only to the count. */
	add(event: ForwardEndEvent, knowledgeAgeMs: number, availableBytes: number): void {
		const {call, targetId = ''} = event;
		this.configVersion = this.count === 0 ? event.configVersion : this.configVersion;
		this.knowledgeAgeMs = Math.max(this.knowledgeAgeMs, knowledgeAgeMs);
		this.count += 1;
		const targetEntries = this.entries.get(targetId);
		const id = sanitizeName(call?.attemptId ?? '');
		const entry = availableBytes > ANSWER_DETAILS_RESERVE_BYTES ? `${id} ${describeAnswer(event, this.configVersion)}` : id;
		const bytes = entry.length + 1 + (targetEntries ? 0 : targetId.length + NAME_SEPARATOR_BYTES);
		if (bytes > availableBytes) {
			this.leftOut += 1;
			return;
		}

		this.bytes += bytes;
		this.entries.set(targetId, [...targetEntries ?? [], entry]);
	}

	/** Returns and clears the collected answers; undefined if there are none. */
	flush(): AggregatedLine | undefined {
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
			answered: count,
			...(leftOut > 0 && {leftOut}),
			answers: Object.fromEntries([...entries].map(([targetId, texts]) => [targetId, texts.join(',')])),
		};
	}
}
