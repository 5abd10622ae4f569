import {groupBy} from '@egretrill/common';
import type {TargetEvent} from '@egretrill/stand-ins';
import type {
	CallStarted, CallEnded, FaultStarted, FaultEnded, FaultKind, History, HistoryEvent, OperationStarted, OperationEnded, ProcessEnded, VersionSeen,
} from './types.js';

export type RunStarted = Extract<TargetEvent, {kind: 'run-begun'}>;
export type Attempt = {readonly started: CallStarted; readonly ended: CallEnded | undefined; readonly runs: readonly RunStarted[]};
export type Operation = {readonly started: OperationStarted; readonly ended: OperationEnded | undefined};
export type FaultPeriod = {readonly started: FaultStarted; readonly ended: FaultEnded | undefined; readonly processEnded: ProcessEnded | undefined};

type EventOf<Kind extends HistoryEvent['kind']> = Extract<HistoryEvent, {kind: Kind}>;

/** Joins the start and end events of calls, operations and faults, and the calls with their runs. */
export class HistoryView {
	readonly attempts: readonly Attempt[];
	readonly operations: readonly Operation[];
	readonly faults: readonly FaultPeriod[];
	readonly runs: readonly RunStarted[];
	readonly versions: readonly VersionSeen[];
	private readonly attemptsById: ReadonlyMap<string, Attempt>;

	constructor(readonly history: History) {
		this.runs = this.getEvents('run-begun');
		this.versions = this.getEvents('version-seen');
		const runs = groupBy(this.runs, ({attempt}) => attempt);
		const callEnds = new Map(this.getEvents('call-ended').map(ended => [ended.attempt, ended]));
		this.attempts = this.getEvents('call-begun').map(started => ({started, ended: callEnds.get(started.attempt), runs: runs.get(started.attempt) ?? []}));
		this.attemptsById = new Map(this.attempts.map(attempt => [attempt.started.attempt, attempt]));
		const operatorEnds = new Map(this.getEvents('operator-ended').map(ended => [ended.operation, ended]));
		this.operations = this.getEvents('operator-begun').map(started => ({started, ended: operatorEnds.get(started.operation)}));
		const faultEnds = new Map(this.getEvents('fault-ended').map(ended => [ended.fault, ended]));
		const processEnds = new Map(this.getEvents('process-ended').map(ended => [ended.fault, ended]));
		this.faults = this.getEvents('fault-begun').map(started => ({started, ended: faultEnds.get(started.fault), processEnded: processEnds.get(started.fault)}));
	}

	getEvents<Kind extends HistoryEvent['kind']>(kind: Kind): ReadonlyArray<EventOf<Kind>> {
		return this.history.events.filter((event): event is EventOf<Kind> => event.kind === kind);
	}

	getAttempt(run: RunStarted): Attempt | undefined {
		return this.attemptsById.get(run.attempt);
	}

	/** Faults of the given kinds that may have had an effect during a period, including the recovery time after their end. */
	getFaultsBetween(kinds: readonly FaultKind[], fromMs: number, toMs: number, recoveryMs = 0): readonly FaultPeriod[] {
		return this.faults.filter(({started, ended}) => kinds.includes(started.faultKind)
			&& started.atMs <= toMs && (ended?.atMs ?? Number.POSITIVE_INFINITY) + recoveryMs >= fromMs);
	}

	/** Total time for which a host's process was paused within a period. */
	getPausedMs(host: string, fromMs: number, toMs: number): number {
		return this.getFaultsBetween(['pause-host'], fromMs, toMs)
			.filter(({started}) => started.subject === host)
			.reduce((sum, {started, ended}) => sum + Math.min(toMs, ended?.atMs ?? toMs) - Math.max(fromMs, started.atMs), 0);
	}
}
