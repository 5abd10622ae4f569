import type {TargetEvent} from '@egretrill/stand-ins';
import type {
	CallBegun, CallEnded, FaultBegun, FaultEnded, FaultKind, History, HistoryEvent, OperatorBegun, OperatorEnded, ProcessEnded, VersionSeen,
} from './types.js';

export type RunBegun = Extract<TargetEvent, {kind: 'run-begun'}>;
export type Attempt = {readonly begun: CallBegun; readonly ended: CallEnded | undefined; readonly runs: readonly RunBegun[]};
export type Operation = {readonly begun: OperatorBegun; readonly ended: OperatorEnded | undefined};
export type FaultPeriod = {readonly begun: FaultBegun; readonly ended: FaultEnded | undefined; readonly processEnded: ProcessEnded | undefined};

type EventOf<Kind extends HistoryEvent['kind']> = Extract<HistoryEvent, {kind: Kind}>;

function groupBy<T>(items: readonly T[], getKey: (item: T) => string): ReadonlyMap<string, readonly T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const key = getKey(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	}

	return groups;
}

/** A history with its beginnings, ends and runs joined. */
export class HistoryView {
	readonly attempts: readonly Attempt[];
	readonly operations: readonly Operation[];
	readonly faults: readonly FaultPeriod[];
	readonly runs: readonly RunBegun[];
	readonly versions: readonly VersionSeen[];
	private readonly attemptsById: ReadonlyMap<string, Attempt>;

	constructor(readonly history: History) {
		this.runs = this.getEvents('run-begun');
		this.versions = this.getEvents('version-seen');
		const runs = groupBy(this.runs, ({attempt}) => attempt);
		const callEnds = new Map(this.getEvents('call-ended').map(ended => [ended.attempt, ended]));
		this.attempts = this.getEvents('call-begun').map(begun => ({begun, ended: callEnds.get(begun.attempt), runs: runs.get(begun.attempt) ?? []}));
		this.attemptsById = new Map(this.attempts.map(attempt => [attempt.begun.attempt, attempt]));
		const operatorEnds = new Map(this.getEvents('operator-ended').map(ended => [ended.operation, ended]));
		this.operations = this.getEvents('operator-begun').map(begun => ({begun, ended: operatorEnds.get(begun.operation)}));
		const faultEnds = new Map(this.getEvents('fault-ended').map(ended => [ended.fault, ended]));
		const processEnds = new Map(this.getEvents('process-ended').map(ended => [ended.fault, ended]));
		this.faults = this.getEvents('fault-begun').map(begun => ({begun, ended: faultEnds.get(begun.fault), processEnded: processEnds.get(begun.fault)}));
	}

	getEvents<Kind extends HistoryEvent['kind']>(kind: Kind): ReadonlyArray<EventOf<Kind>> {
		return this.history.events.filter((event): event is EventOf<Kind> => event.kind === kind);
	}

	getAttempt(run: RunBegun): Attempt | undefined {
		return this.attemptsById.get(run.attempt);
	}

	/** Faults of the given kinds that may have had an effect at some time of a period. */
	getFaultsBetween(kinds: readonly FaultKind[], fromMs: number, toMs: number, recoveryMs = 0): readonly FaultPeriod[] {
		return this.faults.filter(({begun, ended}) => kinds.includes(begun.faultKind)
			&& begun.atMs <= toMs && (ended?.atMs ?? Number.POSITIVE_INFINITY) + recoveryMs >= fromMs);
	}

	/** How long a host's process stood still within a period. */
	getPausedMs(host: string, fromMs: number, toMs: number): number {
		return this.getFaultsBetween(['pause-host'], fromMs, toMs)
			.filter(({begun}) => begun.subject === host)
			.reduce((sum, {begun, ended}) => sum + Math.min(toMs, ended?.atMs ?? toMs) - Math.max(fromMs, begun.atMs), 0);
	}
}
