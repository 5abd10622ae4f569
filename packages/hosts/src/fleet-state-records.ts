import {crc32} from 'node:zlib';
import {RECORD_BUCKETS, RECORD_RETENTION_MS} from './constants.js';
import type {
	AtMostOnceRecord, FleetCommandOf, FleetResult, FleetSnapshot, RecordTable,
} from './types.js';

export type RecordKey = {readonly customer: string; readonly key: string};
type Transition = {readonly state: FleetSnapshot; readonly result: FleetResult};

export function createRecordTable(): RecordTable {
	return Array.from({length: RECORD_BUCKETS}, () => ({}));
}

function getRecordId({customer, key}: RecordKey): string {
	return JSON.stringify([customer, key]);
}

function getBucketIndex(id: string): number {
	return crc32(id) % RECORD_BUCKETS;
}

function isRetained(record: AtMostOnceRecord, logTimeMs: number): boolean {
	return record.recordedMs + RECORD_RETENTION_MS > logTimeMs;
}

/** Returns the record of a request unless its retention time has passed. */
export function findRecord(state: FleetSnapshot, recordKey: RecordKey): AtMostOnceRecord | undefined {
	const id = getRecordId(recordKey);
	const bucket = state.records[getBucketIndex(id)] ?? {};
	const record = Object.hasOwn(bucket, id) ? bucket[id] : undefined;
	return record && isRetained(record, state.logTimeMs) ? record : undefined;
}

/** Sets or removes a record and drops the expired records of its bucket. */
function setRecord(state: FleetSnapshot, recordKey: RecordKey, record: AtMostOnceRecord | undefined): FleetSnapshot {
	const id = getRecordId(recordKey);
	const index = getBucketIndex(id);
	const retained = Object.entries(state.records[index] ?? {}).filter(([otherId, other]) => otherId !== id && isRetained(other, state.logTimeMs));
	const bucket = Object.fromEntries(record ? [...retained, [id, record]] : retained);
	return {...state, records: state.records.with(index, bucket)};
}

/** Records that a request is about to be sent, or returns the state of an earlier send. */
export function applyRecord(state: FleetSnapshot, command: FleetCommandOf<'record'>): Transition {
	const existing = findRecord(state, command);
	if (existing === undefined) {
		const {fingerprint, host, attempt} = command;
		const record = {
			fingerprint, host, attempt, recordedMs: state.logTimeMs,
		};
		return {state: setRecord(state, command, record), result: {kind: 'new'}};
	}

	if (existing.fingerprint !== command.fingerprint) {
		return {state, result: {kind: 'key-reused'}};
	}

	// Repeating the same attempt is not permitted either: its first record may have led to a send.
	return {state, result: existing.outcome ? {kind: 'known', outcome: existing.outcome} : {kind: 'pending'}};
}

function findAttempt(state: FleetSnapshot, command: RecordKey & {readonly host: string; readonly attempt: string}): AtMostOnceRecord | undefined {
	const record = findRecord(state, command);
	return record?.host === command.host && record.attempt === command.attempt ? record : undefined;
}

/** Stores the outcome of a recorded send; later outcomes are ignored. */
export function applyOutcome(state: FleetSnapshot, command: FleetCommandOf<'outcome'>): Transition {
	const record = findAttempt(state, command);
	if (record === undefined) {
		return {state, result: {kind: 'no-record'}};
	}

	const isFirst = record.outcome === undefined;
	return {state: isFirst ? setRecord(state, command, {...record, outcome: command.outcome}) : state, result: {kind: 'recorded'}};
}

/** Removes the record of a send that never reached its target. */
export function applyRelease(state: FleetSnapshot, command: FleetCommandOf<'release'>): Transition {
	const record = findAttempt(state, command);
	return record !== undefined && record.outcome === undefined
		? {state: setRecord(state, command, undefined), result: {kind: 'released'}}
		: {state, result: {kind: 'no-record'}};
}
