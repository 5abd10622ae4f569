import {createLocalConfig} from '@egretrill/testkit';
import type {
	CallStarted, CallEnded, History, HistoryEvent,
} from '../src/index.js';

export const digest = 'digest-1';
const target = {targetId: 'engine-1', startId: 'start-1', zone: 'zone-a'};

export function startCall(atMs: number, fields: Partial<CallStarted> = {}): CallStarted {
	return {
		kind: 'call-begun', atMs, attempt: 'call-1/1', callKind: 'registry', host: 'host-1', customer: 'yard', keyId: 'yard-1', route: '/registry/',
		isKeyed: true, isIdempotent: true, isStream: false, bodyDigest: digest, tokens: 0, ...fields,
	};
}

export function endCall(atMs: number, fields: Partial<CallEnded> = {}): CallEnded {
	return {
		kind: 'call-ended', atMs, attempt: 'call-1/1', end: 'answered', status: 200, verdict: 'ran', requestId: 'req-1', runId: 'req-1', runDigest: digest, chunks: [],
		isDone: false, hasErrorEvent: false, ...fields,
	};
}

export function startRun(atMs: number, fields: Partial<Extract<HistoryEvent, {kind: 'run-begun'}>> = {}): HistoryEvent {
	return {
		kind: 'run-begun', atMs, ...target, requestId: 'req-1', attempt: 'call-1/1', bodyDigest: digest, resumeFrom: 0, seesKey: false, running: 1, completed: 0, limit: 8, isCold: false, ...fields,
	};
}

export function leaveTarget(atMs: number): HistoryEvent {
	return {kind: 'leaving', atMs, ...target};
}

export function changeMemory(atMs: number, usedMb: number): HistoryEvent {
	return {
		kind: 'memory', atMs, ...target, usedMb, limitMb: 48_000,
	};
}

/** Start of an operator's request, and its answer 10 ms later. */
export function runOperation(
	atMs: number,
	action: 'apply' | 'withdrawal-state' | 'zone-out' | 'zone-back',
	subject: string,
	answer: {result: string; version?: number; digest?: string},
): HistoryEvent[] {
	const operation = `operation-${atMs}`;
	return [
		{
			kind: 'operator-begun', atMs, operation, action, host: 'host-1', subject,
		},
		{
			kind: 'operator-ended', atMs: atMs + 10, operation, ...answer,
		},
	];
}

export function readVersion(atMs: number, version: number, documentDigest = `document-${version}`): HistoryEvent {
	return {
		kind: 'version-seen', atMs, host: 'host-1', version, digest: documentDigest,
	};
}

/** A planned stop of host-1 at 1,000 ms; its process exits at 4,000 ms. */
export function stopHost(exitCode: number): HistoryEvent[] {
	return [
		{
			kind: 'fault-begun', atMs: 1000, fault: 'fault-1', faultKind: 'stop-host', subject: 'host-1',
		},
		{
			kind: 'process-ended', atMs: 4000, fault: 'fault-1', exitCode,
		},
		{kind: 'fault-ended', atMs: 6000, fault: 'fault-1'},
	];
}

export function createHistory(events: readonly HistoryEvent[]): History {
	return {
		seed: 1, document: createLocalConfig(['zone-a', 'zone-b']), hosts: [{id: 'host-1', zone: 'zone-a'}], events: events.toSorted((a, b) => a.atMs - b.atMs),
	};
}
