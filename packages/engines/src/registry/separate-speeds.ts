import {
	MAX_SPEED, MIN_SPEED, MODEL_CLASS_RATIO, PACE_PRIOR_STREAMS, SPEED_PRIOR_STREAMS, SPEED_SWEEPS,
} from './constants.js';

/** Mean logarithm of the milliseconds per event of a model's streams at one target, and the number of streams that it counts as. */
export type PairPace = {readonly targetId: string; readonly model: string; readonly logPace: number; readonly weight: number};

export type SeparatedSpeeds = {
	/** Speeds whose mean is 1, and the number of streams that each rests on. */
	readonly speeds: ReadonlyMap<string, {readonly speed: number; readonly weight: number}>;
	/** Milliseconds per event of each model at a target of mean speed. */
	readonly pacesMs: ReadonlyMap<string, number>;
};

/** Value that counts as a number of streams in the mean of a group. */
type Prior = {readonly value: number; readonly weight: number};

const NO_PRIOR: Prior = {value: 0, weight: 0};

function indexNames(names: readonly string[]): ReadonlyMap<string, number> {
	return new Map([...new Set(names)].map((name, index) => [name, index]));
}

/** Groups of pairs, by target, model or class of models. */
class Groups {
	constructor(private readonly groupOf: readonly number[], private readonly weights: readonly number[], readonly count: number) {}

	/** Returns the weighted mean of the values of each group together with the group's prior. */
	getMeans(values: readonly number[], getPrior: (group: number) => Prior = () => NO_PRIOR): number[] {
		const sums = Array.from({length: this.count}, () => 0);
		const weights = Array.from({length: this.count}, () => 0);
		for (const [i, value] of values.entries()) {
			const group = this.groupOf[i]!;
			sums[group]! += value * this.weights[i]!;
			weights[group]! += this.weights[i]!;
		}

		return sums.map((sum, group) => {
			const prior = getPrior(group);
			return (sum + (prior.value * prior.weight)) / (weights[group]! + prior.weight);
		});
	}

	/** Returns for each pair the value of its group. */
	spread(values: readonly number[]): number[] {
		return this.groupOf.map(group => values[group]!);
	}
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Returns where sorted values fall into two groups whose means differ most for their sizes; undefined if the means are close to each other. */
function findSplit(sorted: readonly number[]): number | undefined {
	const total = sorted.reduce((sum, value) => sum + value, 0);
	let best: {readonly index: number; readonly variance: number; readonly distance: number} | undefined;
	let sum = 0;
	for (const [i, value] of sorted.slice(0, -1).entries()) {
		sum += value;
		const [low, high] = [i + 1, sorted.length - i - 1];
		const distance = ((total - sum) / high) - (sum / low);
		const variance = low * high * (distance ** 2);
		if (!best || variance > best.variance) {
			best = {index: low, variance, distance};
		}
	}

	return best && best.distance >= Math.log(MODEL_CLASS_RATIO) ? best.index : undefined;
}

/** Divides sorted paces into classes, so that light models are no measure for heavy ones; returns the lowest pace of each class. */
function findClassStarts(sorted: readonly number[]): readonly number[] {
	const split = findSplit(sorted);
	return split === undefined ? sorted.slice(0, 1) : [...findClassStarts(sorted.slice(0, split)), ...findClassStarts(sorted.slice(split))];
}

/** Returns the class of each model. */
function classify(logPaces: readonly number[]): readonly number[] {
	const starts = findClassStarts(logPaces.toSorted((a, b) => a - b));
	return logPaces.map(logPace => starts.findLastIndex(start => start <= logPace));
}

function subtract(values: readonly number[], others: readonly number[]): number[] {
	return values.map((value, i) => value - others[i]!);
}

/** Fits the logarithms of the speeds of targets and of the paces of models to those of the pairs. */
function fit(logPaces: readonly number[], targets: Groups, models: Groups, weights: readonly number[]): {readonly logSpeeds: readonly number[]; readonly logModelPaces: readonly number[]} {
	const classOfModel = classify(models.getMeans(logPaces));
	const classes = new Groups(models.spread(classOfModel), weights, Math.max(0, ...classOfModel) + 1);
	const getClassPaces = (atMeanSpeed: readonly number[]): number[] => {
		const means = classes.getMeans(atMeanSpeed);
		return classOfModel.map(index => means[index]!);
	};

	let logSpeeds: readonly number[] = [];
	// A model with one copy would take the whole difference on itself if it were fitted before the targets.
	let logModelPaces: readonly number[] = getClassPaces(logPaces);
	for (let sweep = 0; sweep < SPEED_SWEEPS; sweep += 1) {
		logSpeeds = targets.getMeans(subtract(models.spread(logModelPaces), logPaces), () => ({value: 0, weight: SPEED_PRIOR_STREAMS}));
		const speeds = targets.spread(logSpeeds);
		const atMeanSpeed = logPaces.map((logPace, i) => logPace + speeds[i]!);
		const classPaces = getClassPaces(atMeanSpeed);
		logModelPaces = models.getMeans(atMeanSpeed, model => ({value: classPaces[model]!, weight: PACE_PRIOR_STREAMS}));
	}

	return {logSpeeds, logModelPaces};
}

/**
 * Separates the speeds of targets from the paces of the models that they run, by alternating between both. Most models may have a single copy: the difference
 * of such a pair from the class of the model is then put down to the target.
 */
export function separateSpeeds(pairs: readonly PairPace[]): SeparatedSpeeds {
	const weights = pairs.map(({weight}) => weight);
	const targetIndex = indexNames(pairs.map(({targetId}) => targetId));
	const modelIndex = indexNames(pairs.map(({model}) => model));
	const targets = new Groups(pairs.map(({targetId}) => targetIndex.get(targetId)!), weights, targetIndex.size);
	const models = new Groups(pairs.map(({model}) => modelIndex.get(model)!), weights, modelIndex.size);
	const {logSpeeds, logModelPaces} = fit(pairs.map(({logPace}) => logPace), targets, models, weights);
	const speeds = logSpeeds.map(logSpeed => Math.exp(logSpeed));
	const meanSpeed = speeds.length === 0 ? 1 : getMean(speeds);
	const streams = Array.from({length: targetIndex.size}, () => 0);
	for (const {targetId, weight} of pairs) {
		streams[targetIndex.get(targetId)!]! += weight;
	}

	return {
		speeds: new Map([...targetIndex].map(([targetId, i]) => [targetId, {weight: streams[i]!, speed: Math.min(MAX_SPEED, Math.max(MIN_SPEED, speeds[i]! / meanSpeed))}])),
		pacesMs: new Map([...modelIndex].map(([model, i]) => [model, Math.exp(logModelPaces[i]!) / meanSpeed])),
	};
}

/** Part of the mean speed by which targets differ, without the part that is the noise of the streams measured. */
export function getSpread(speeds: ReadonlyArray<{readonly speed: number; readonly weight: number}>, noise: number): number {
	if (speeds.length < 2) {
		return 0;
	}

	const logs = speeds.map(({speed}) => Math.log(speed));
	const mean = getMean(logs);
	const variance = logs.reduce((sum, log) => sum + ((log - mean) ** 2), 0) / (logs.length - 1);
	const noiseVariance = speeds.reduce((sum, {weight}) => sum + ((noise ** 2) / weight), 0) / speeds.length;
	return Math.sqrt(Math.max(0, variance - noiseVariance));
}
