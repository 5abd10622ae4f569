import {MonotonicClock, type Clock} from '@egretrill/common';
import {build, type Histogram} from 'hdr-histogram-js';
import {
	DURATION_STEPS_PER_MS, MAX_DURATION_MS, MAX_LABEL_SETS, MAX_PERCENTILE_LABEL_SETS, OVERFLOW_LABEL, PERCENTILE_WINDOW_MS, REPORTED_QUANTILES,
} from './constants.js';

/** Label values of one series, by label name. */
export type Labels = Readonly<Record<string, string>>;

export type MetricOptions = {
	readonly name: string;
	readonly help: string;
	readonly labels?: readonly string[];
	readonly maxLabelSets?: number;
};

type Series<Value> = {readonly labels: readonly string[]; value: Value};

function escapeLabel(value: string): string {
	return value.replaceAll('\\', String.raw`\\`).replaceAll('"', String.raw`\"`).replaceAll('\n', String.raw`\n`);
}

function formatLabels(names: readonly string[], values: readonly string[]): string {
	return names.length === 0 ? '' : `{${names.map((name, i) => `${name}="${escapeLabel(values[i] ?? '')}"`).join(',')}}`;
}

/** A metric with a limited number of series. */
export abstract class Metric<Value> {
	protected readonly opts: Required<MetricOptions>;
	protected abstract readonly type: 'counter' | 'gauge' | 'summary';
	private readonly series = new Map<string, Series<Value>>();

	constructor(opts: MetricOptions) {
		this.opts = {labels: [], maxLabelSets: MAX_LABEL_SETS, ...opts};
	}

	/** Formats the metric in the Prometheus text format. */
	format(): string {
		const {name, help} = this.opts;
		const lines = [...this.series.values()].flatMap(entry => this.formatSeries(entry));
		return [`# HELP ${name} ${help}`, `# TYPE ${name} ${this.type}`, ...lines].join('\n');
	}

	/** Removes every series, for gauges that are recomputed at each scrape. */
	clear(): void {
		this.series.clear();
	}

	/** Returns the series of a label set, or the overflow series if the limit is reached. */
	protected getSeries(labels: Labels): Series<Value> {
		const values = this.opts.labels.map(name => labels[name] ?? '');
		const existing = this.series.get(JSON.stringify(values));
		if (existing) {
			return existing;
		}

		const isFull = this.series.size >= this.opts.maxLabelSets - 1;
		const seriesLabels = isFull ? values.map(() => OVERFLOW_LABEL) : values;
		const key = JSON.stringify(seriesLabels);
		const series = this.series.get(key) ?? {labels: seriesLabels, value: this.createValue()};
		this.series.set(key, series);
		return series;
	}

	protected formatLine(suffix: string, labels: readonly string[], value: number, quantile?: number): string {
		const names = quantile === undefined ? this.opts.labels : [...this.opts.labels, 'quantile'];
		const values = quantile === undefined ? labels : [...labels, String(quantile)];
		return `${this.opts.name}${suffix}${formatLabels(names, values)} ${value}`;
	}

	protected abstract createValue(): Value;
	protected abstract formatSeries(series: Series<Value>): readonly string[];
}

/** A sum that only increases. */
export class Counter extends Metric<number> {
	protected get type() {
		return 'counter' as const;
	}

	add(amount = 1, labels: Labels = {}): void {
		this.getSeries(labels).value += amount;
	}

	protected createValue(): number {
		return 0;
	}

	protected formatSeries(series: Series<number>): readonly string[] {
		return [this.formatLine('', series.labels, series.value)];
	}
}

/** A value that can increase and decrease. */
export class Gauge extends Metric<number> {
	protected get type() {
		return 'gauge' as const;
	}

	set(value: number, labels: Labels = {}): void {
		this.getSeries(labels).value = value;
	}

	add(amount: number, labels: Labels = {}): void {
		this.getSeries(labels).value += amount;
	}

	protected createValue(): number {
		return 0;
	}

	protected formatSeries(series: Series<number>): readonly string[] {
		return [this.formatLine('', series.labels, series.value)];
	}
}

type DurationStats = {current: Histogram; previous: Histogram; windowStartMs: number; count: number; sumMs: number};

function createHistogram(): Histogram {
	// Two significant digits limit the error to 1 %; autoResize grows the array with the largest recorded value.
	return build({
		bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 2, numberOfSignificantValueDigits: 2,
	});
}

export type DurationsOptions = MetricOptions & {readonly clock: Clock};

/** Percentiles of the durations of the last one to two windows, in milliseconds; sum and count run from the start of the process. */
export class Durations extends Metric<DurationStats> {
	private readonly clock: Clock;

	constructor({clock, ...opts}: DurationsOptions) {
		super({maxLabelSets: MAX_PERCENTILE_LABEL_SETS, ...opts});
		this.clock = clock;
	}

	record(durationMs: number, labels: Labels = {}): void {
		const {value} = this.getSeries(labels);
		this.rotate(value);
		const boundedMs = Math.min(Math.max(durationMs, 0), MAX_DURATION_MS);
		value.current.recordValue(Math.round(boundedMs * DURATION_STEPS_PER_MS));
		value.count++;
		value.sumMs += boundedMs;
	}

	/** Returns a quantile in milliseconds, or NaN if the last two windows have no values. */
	getQuantile(quantile: number, labels: Labels = {}): number {
		const [value = Number.NaN] = this.getQuantiles(this.getSeries(labels).value, [quantile]);
		return value;
	}

	protected get type() {
		return 'summary' as const;
	}

	protected createValue(): DurationStats {
		return {
			current: createHistogram(), previous: createHistogram(), windowStartMs: this.clock.now(), count: 0, sumMs: 0,
		};
	}

	protected formatSeries({labels, value}: Series<DurationStats>): readonly string[] {
		const values = this.getQuantiles(value, REPORTED_QUANTILES);
		return [
			...REPORTED_QUANTILES.map((quantile, i) => this.formatLine('', labels, values[i] ?? Number.NaN, quantile)),
			this.formatLine('_sum', labels, Number(value.sumMs.toFixed(3))),
			this.formatLine('_count', labels, value.count),
		];
	}

	private getQuantiles(value: DurationStats, quantiles: readonly number[]): readonly number[] {
		this.rotate(value);
		const merged = createHistogram();
		merged.add(value.previous);
		merged.add(value.current);
		return quantiles.map(quantile => merged.totalCount === 0 ? Number.NaN : merged.getValueAtPercentile(quantile * 100) / DURATION_STEPS_PER_MS);
	}

	private rotate(value: DurationStats): void {
		const elapsedMs = this.clock.now() - value.windowStartMs;
		if (elapsedMs < PERCENTILE_WINDOW_MS) {
			return;
		}

		const oldest = value.previous;
		oldest.reset();
		if (elapsedMs < 2 * PERCENTILE_WINDOW_MS) {
			value.previous = value.current;
			value.current = oldest;
		} else {
			value.current.reset();
		}

		value.windowStartMs += Math.floor(elapsedMs / PERCENTILE_WINDOW_MS) * PERCENTILE_WINDOW_MS;
	}
}

const CUSTOMER_AND_MODEL = ['customer', 'model'] as const;

/** The metrics of one process. */
export class Metrics {
	readonly firstToken: Durations;
	readonly betweenTokens: Durations;
	readonly queueTime: Durations;
	private readonly metrics = new Map<string, {format: () => string}>();

	constructor(private readonly clock: Clock = new MonotonicClock()) {
		const labels = CUSTOMER_AND_MODEL;
		this.firstToken = this.createDurations({name: 'egretrill_first_token_ms', help: 'Time from the arrival of a request to its first token.', labels});
		this.betweenTokens = this.createDurations({name: 'egretrill_between_tokens_ms', help: 'Time between two tokens of a stream.', labels});
		this.queueTime = this.createDurations({name: 'egretrill_queue_ms', help: 'Time that a request waited in the fair queue.', labels});
	}

	createCounter(opts: MetricOptions): Counter {
		return this.register(opts.name, new Counter(opts));
	}

	createGauge(opts: MetricOptions): Gauge {
		return this.register(opts.name, new Gauge(opts));
	}

	createDurations(opts: MetricOptions): Durations {
		return this.register(opts.name, new Durations({...opts, clock: this.clock}));
	}

	/** Formats all metrics in the Prometheus text format. */
	format(): string {
		return `${[...this.metrics.values()].map(metric => metric.format()).join('\n')}\n`;
	}

	private register<Registered extends {format: () => string}>(name: string, metric: Registered): Registered {
		if (this.metrics.has(name)) {
			throw new Error(`The metric ${name} exists already.`);
		}

		this.metrics.set(name, metric);
		return metric;
	}
}
