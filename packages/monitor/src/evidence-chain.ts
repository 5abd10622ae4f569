import {createHash} from 'node:crypto';
import {GENESIS_HASH, HEAD_FILE_BYTES} from './constants.js';
import {
	EvidenceEntry, EvidenceHead, type BrokenLink, type EvidenceRecord,
} from './types.js';

/** A line of the evidence file; `bytes` includes the newline, which an incomplete last line lacks. */
export type EvidenceLine = {readonly text: string; readonly bytes: number; readonly isComplete: boolean};

/** An entry with its hash, which precedes it in its line of the file. */
export type HashedEntry = EvidenceEntry & {readonly hash: string};

const linePattern = /^(?<hash>[\da-f]{64}) (?<json>\{.*\})$/sv;

function computeHash(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Creates the entry after `head` and its line. The hash covers the exact JSON text, which contains the previous hash. */
export function createLine(head: EvidenceHead | undefined, record: EvidenceRecord, at: string): {readonly text: string; readonly entry: HashedEntry} {
	const entry = {
		seq: (head?.seq ?? -1) + 1, previous: head?.hash ?? GENESIS_HASH, at, record,
	};
	const json = JSON.stringify(entry);
	const hash = computeHash(json);
	return {text: `${hash} ${json}\n`, entry: {hash, ...entry}};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function createBrokenLink(line: number, fault: BrokenLink['fault'], expected: string, found: string): BrokenLink {
	return {
		intact: false, line, fault, expected, found,
	};
}

/** Parses a line and checks that it continues the chain after `head`. */
export function parseLine(head: EvidenceHead | undefined, line: EvidenceLine): HashedEntry | BrokenLink {
	const seq = (head?.seq ?? -1) + 1;
	const lineNumber = seq + 1;
	const {hash = '', json = ''} = linePattern.exec(line.text)?.groups ?? {};
	if (hash === '') {
		return createBrokenLink(lineNumber, 'format', 'a hash and a JSON object', `${line.bytes} bytes of another form`);
	}

	if (computeHash(json) !== hash) {
		return createBrokenLink(lineNumber, 'hash', hash, computeHash(json));
	}

	const parsed = EvidenceEntry.safeParse(parseJson(json));
	if (!parsed.success) {
		return createBrokenLink(lineNumber, 'format', 'an evidence entry', parsed.error.issues.map(issue => issue.path.join('.')).join(', '));
	}

	const previous = head?.hash ?? GENESIS_HASH;
	if (parsed.data.previous !== previous) {
		return createBrokenLink(lineNumber, 'link', `previous ${previous}`, `previous ${parsed.data.previous}`);
	}

	if (parsed.data.seq !== seq) {
		return createBrokenLink(lineNumber, 'sequence', `record ${seq}`, `record ${parsed.data.seq}`);
	}

	return {hash, ...parsed.data};
}

/** Type guard for the result of a line that does not continue its chain. */
export function isBrokenLink(value: HashedEntry | BrokenLink): value is BrokenLink {
	return 'intact' in value;
}

/** Formats the content of the head file, padded to its fixed length. */
export function formatHead(head: EvidenceHead): string {
	return `${JSON.stringify(head).padEnd(HEAD_FILE_BYTES - 1)}\n`;
}

/** Parses the content of a head file; undefined when it is not a valid head. */
export function parseHead(text: string): EvidenceHead | undefined {
	const parsed = EvidenceHead.safeParse(parseJson(text));
	return parsed.success ? parsed.data : undefined;
}
