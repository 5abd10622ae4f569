import {z} from 'zod';
import {type LoadReport, runLoad} from '../bench/run-load.js';
import {isLoopbackUrl} from '../bench/loopback.js';
import {Command, type CommandHelp} from '../command.js';
import type {Environment} from '../connector.js';
import {
	EXIT_DONE, EXIT_FAILED, MAX_BENCH_CONCURRENCY, MAX_BENCH_REQUESTS,
} from '../constants.js';
import {createUsageError} from '../errors.js';
import {formatTable} from '../table.js';
import {CommonArgs, type Report} from '../types.js';

const BenchArgs = z.object({
	...CommonArgs.shape,
	url: z.string(),
	keyEnv: z.string(),
	model: z.string(),
	requests: z.int().min(1).max(MAX_BENCH_REQUESTS).default(100),
	concurrency: z.int().min(1).max(MAX_BENCH_CONCURRENCY).default(8),
	stream: z.boolean().default(false),
});

function formatLoad({requests, firstTokenMs, totalMs, verdicts}: LoadReport): string {
	const rows = [['first token', firstTokenMs], ['total', totalMs]] as const;
	return [
		`${requests} requests`,
		formatTable(['TIME (MS)', 'P50', 'P95', 'P99', 'MAX'], rows.map(([name, {p50, p95, p99, max}]) => [name, ...[p50, p95, p99, max].map(value => value.toFixed(1))])),
		formatTable(['VERDICT', 'COUNT'], Object.entries(verdicts).map(([verdict, count]) => [verdict, String(count)])),
	].join('\n\n');
}

/** Sends a bounded load to a local fleet. */
export class BenchCommand extends Command<typeof BenchArgs> {
	readonly help: CommandHelp = {
		usage: 'bench',
		summary: 'Puts a bounded load on a fleet on loopback and reports times and verdicts',
		examples: [['bench --url http://127.0.0.1:7001 --key-env YARD_KEY --model inscription --requests 200 --stream', 'Measure 200 streams']],
	};

	readonly schema = BenchArgs;
	override readonly options = {
		url: {type: 'string', demandOption: true, describe: 'Caller address of a host; only loopback is accepted'},
		'key-env': {type: 'string', demandOption: true, describe: 'Environment variable with the key of a customer'},
		model: {type: 'string', demandOption: true, describe: 'Model to ask'},
		requests: {type: 'number', default: 100, describe: `Requests in total, at most ${MAX_BENCH_REQUESTS}`},
		concurrency: {type: 'number', default: 8, describe: `Requests at the same time, at most ${MAX_BENCH_CONCURRENCY}`},
		stream: {type: 'boolean', describe: 'Ask for streamed answers'},
	} as const;

	constructor(private readonly env: Environment) {
		super();
	}

	async run({url, keyEnv, model, requests, concurrency, stream}: z.infer<typeof BenchArgs>): Promise<Report> {
		if (!isLoopbackUrl(url)) {
			throw createUsageError(`bench accepts only http addresses on loopback (127.0.0.0/8 or [::1]), found ${url}`);
		}

		const key = this.env[keyEnv];
		if (!key) {
			throw createUsageError(`The environment variable ${keyEnv} holds no key.`);
		}

		const report = await runLoad({
			url: new URL('/v1/chat/completions', url).href, key, model, requests, concurrency, stream,
		});
		return {exitCode: report.unanswered === 0 ? EXIT_DONE : EXIT_FAILED, text: formatLoad(report), data: report};
	}
}
