import {
	isBrokenLink, parseHead, parseLine, type EvidenceLine, type HashedEntry,
} from './evidence-chain.js';
import {readFileLines, readHeadFile} from './evidence-storage.js';
import type {BrokenLink, EvidenceHead, Verification} from './types.js';

type VerifyLinesOptions = {
	/** Heads that the chain must contain: from the head file, or saved by the monitor. */
	readonly anchors: readonly EvidenceHead[];
	/** Sequence number of the last record to verify, for a file that is being written; -1 verifies none. */
	readonly untilSeq?: number;
	/** Called with each intact entry and the length of its line. */
	readonly onEntry?: (entry: HashedEntry, bytes: number) => void;
};

function findMissingAnchor(anchors: readonly EvidenceHead[], records: number, tornBytes: number): BrokenLink | undefined {
	const missing = anchors.find(anchor => anchor.seq >= records);
	return missing && {
		intact: false,
		line: records + 1,
		fault: tornBytes > 0 ? 'torn' : 'cut',
		expected: `record ${missing.seq}`,
		found: tornBytes > 0 ? `${records} records and ${tornBytes} bytes of another` : `${records} records`,
	};
}

/** Verifies a chain of lines and returns its first broken link if there is one. */
export async function verifyLines(lines: AsyncIterable<EvidenceLine>, opts: VerifyLinesOptions): Promise<Verification> {
	const {anchors, untilSeq = Number.MAX_SAFE_INTEGER, onEntry} = opts;
	let head: EvidenceHead | undefined;
	let tornBytes = 0;
	for await (const line of lines) {
		if ((head?.seq ?? -1) >= untilSeq) {
			break;
		}

		if (!line.isComplete) {
			tornBytes = line.bytes;
			break;
		}

		const entry = parseLine(head, line);
		if (isBrokenLink(entry)) {
			return entry;
		}

		const {seq, hash} = entry;
		head = {seq, hash};
		const anchor = anchors.find(candidate => candidate.seq === seq && candidate.hash !== hash);
		if (anchor) {
			return {
				intact: false, line: seq + 1, fault: 'replaced', expected: anchor.hash, found: hash,
			};
		}

		onEntry?.(entry, line.bytes);
	}

	const records = (head?.seq ?? -1) + 1;
	return findMissingAnchor(anchors, records, tornBytes) ?? {
		intact: true, records, head: head ?? null, tornBytes,
	};
}

/** Parses the head file into anchors. An empty file, as after a crash before the first head was written, has none; undefined when the content is not a valid head. */
export function parseAnchors(headText: string | undefined): readonly EvidenceHead[] | undefined {
	if (headText === undefined || headText === '') {
		return [];
	}

	const head = parseHead(headText);
	return head && [head];
}

/** Creates the outcome for a head file whose content is not a valid head. */
export function createUnreadableHeadResult(): Verification {
	return {
		intact: false, line: 1, fault: 'head-unreadable', expected: 'a head file with a record number and a hash', found: 'another text',
	};
}

/** Verifies an evidence file and its head file; `known` is a head that the caller saved earlier. */
export async function verifyEvidence(file: string, known?: EvidenceHead): Promise<Verification> {
	// The head is read first, so that records appended during verification cannot make the file look truncated.
	const anchors = parseAnchors(await readHeadFile(file));
	if (!anchors) {
		return createUnreadableHeadResult();
	}

	return verifyLines(readFileLines(file), {anchors: known ? [...anchors, known] : anchors});
}
