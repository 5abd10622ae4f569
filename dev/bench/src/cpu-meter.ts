import process from 'node:process';

const US_PER_MS = 1000;

/** Sums the processor time of named parts of a program. */
export class CpuMeter {
	private readonly usedUs = new Map<string, number>();
	private readonly calls = new Map<string, number>();

	measure<T>(part: string, run: () => T): T {
		const start = process.cpuUsage();
		const result = run();
		const {user, system} = process.cpuUsage(start);
		this.usedUs.set(part, (this.usedUs.get(part) ?? 0) + user + system);
		this.calls.set(part, (this.calls.get(part) ?? 0) + 1);
		return result;
	}

	/** Returns processor time in milliseconds and calls for each second of a run of the given length, the most expensive part first. */
	getPerSecond(seconds: number): Record<string, {readonly ms: number; readonly calls: number}> {
		const parts = [...this.usedUs].toSorted(([, a], [, b]) => b - a);
		return Object.fromEntries(parts.map(([part, usedUs]) => [part, {
			ms: Number((usedUs / US_PER_MS / seconds).toFixed(2)), calls: Math.round((this.calls.get(part) ?? 0) / seconds),
		}]));
	}
}
