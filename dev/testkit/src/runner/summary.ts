const SUMMARY_PATTERN = /^(?<passed>\d+) passed, (?<failed>\d+) failed$/v;

/** Totals of a run of tests. */
export type Totals = {readonly passed: number; readonly failed: number};

/** What a test process has printed, without its summary, and its totals; one that ended without a summary counts as one failure. */
export function readSummary(output: string): Totals & {readonly text: string} {
	const lines = output.split('\n');
	const index = lines.findLastIndex(line => SUMMARY_PATTERN.test(line));
	const {passed = '0', failed = '1'} = SUMMARY_PATTERN.exec(lines[index] ?? '')?.groups ?? {};
	return {text: lines.filter((_, i) => i !== index).join('\n'), passed: Number(passed), failed: Number(failed)};
}
