import {
	isBrokenLink, parseHead, parseLine, type EvidenceLine, type HashedEntry,
} from './evidence-chain.js';
import {readFileLines, readHeadFile} from './evidence-storage.js';
import type {BrokenLink, EvidenceHead, Verification} from './types.js';

type VerifyLinesOptions = {
	/** Heads that the chain must contain: from the head file, or kept by the monitor. */
	readonly anchors: readonly EvidenceHead[];
	/** Last record to check, for a file that is being written; -1 checks none. */
	readonly until?: number;
	/** Sees each intact entry with its length. */
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

/** Checks a chain of lines and names its first broken link. */
export async function verifyLines(lines: AsyncIterable<EvidenceLine>, opts: VerifyLinesOptions): Promise<Verification> {
	const {anchors, until = Number.MAX_SAFE_INTEGER, onEntry} = opts;
	let head: EvidenceHead | undefined;
	let tornBytes = 0;
	for await (const line of lines) {
		if ((head?.seq ?? -1) >= until) {
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

/** Restores the anchor of a head file; an empty file has none, as after a crash before the first head. */
export function parseAnchors(headText: string | undefined): readonly EvidenceHead[] | undefined {
	if (headText === undefined || headText === '') {
		return [];
	}

	const head = parseHead(headText);
	return head && [head];
}

/** Outcome for a head file that holds no head. */
export function createUnreadableHeadResult(): Verification {
	return {
		intact: false, line: 1, fault: 'head-unreadable', expected: 'a head file with a record number and a hash', found: 'another text',
	};
}

/** Verifies an evidence file and its head file; `known` is a head that the caller noted earlier. */
export async function verifyEvidence(file: string, known?: EvidenceHead): Promise<Verification> {
	// The head is read first, so that records appended meanwhile cannot look like a cut.
	const anchors = parseAnchors(await readHeadFile(file));
	if (!anchors) {
		return createUnreadableHeadResult();
	}

	return verifyLines(readFileLines(file), {anchors: known ? [...anchors, known] : anchors});
}
