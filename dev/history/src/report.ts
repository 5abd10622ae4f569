import type {CheckResult, History} from './types.js';

export type Report = {readonly lines: readonly string[]; readonly hasPassed: boolean};

/** Number of findings that are printed for each promise. */
const MAX_PRINTED = 3;

function countBy(values: readonly string[]): string {
	const counts = new Map<string, number>();
	for (const value of values) {
		counts.set(value, (counts.get(value) ?? 0) + 1);
	}

	return [...counts].toSorted(([a], [b]) => a.localeCompare(b)).map(([value, count]) => `${value} ${count}`).join(', ');
}

function describeCounts({events}: History): readonly string[] {
	const firstMs = events[0]?.atMs ?? 0;
	const lastMs = events.at(-1)?.atMs ?? 0;
	return [
		`recorded: ${events.length} events in ${((lastMs - firstMs) / 1000).toFixed(1)} s`,
		`calls: ${countBy(events.flatMap(event => event.kind === 'call-begun' ? [event.callKind] : []))}`,
		`answers: ${countBy(events.flatMap(event => event.kind === 'call-ended' ? [event.code ?? (event.end === 'answered' ? String(event.status) : event.end)] : []))}`,
		`operators: ${countBy(events.flatMap(event => event.kind === 'operator-begun' ? [event.action] : []))}`,
		`operators' answers: ${countBy(events.flatMap(event => event.kind === 'operator-ended' ? [event.result] : []))}`,
		`faults: ${countBy(events.flatMap(event => event.kind === 'fault-begun' ? [event.faultKind] : []))}`,
	];
}

function describeResult({promise, title, counted, unit, findings}: CheckResult): readonly string[] {
	const verdict = findings.length === 0 ? 'held' : `BROKEN ${findings.length} times`;
	return [
		`${promise}: ${title}: ${verdict} (${counted} ${unit})`,
		...findings.slice(0, MAX_PRINTED).flatMap(({what, evidence}) => [`  ${what}`, ...evidence.map(line => `    ${line}`)]),
	];
}

/** Creates the report of a run: counts of events, the result of each promise, and the command that repeats the run if a promise was broken. */
export function createReport(history: History, results: readonly CheckResult[], seconds: number): Report {
	const hasPassed = results.every(({findings}) => findings.length === 0);
	return {
		hasPassed,
		lines: [
			`seed ${history.seed}`,
			...describeCounts(history),
			...results.flatMap(result => describeResult(result)),
			...(hasPassed ? [] : [`replay: npm run history -- --seed ${history.seed} --seconds ${seconds}`]),
		],
	};
}
