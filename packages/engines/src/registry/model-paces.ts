import {MAX_PACE_MODELS, MODEL_PACE_STREAMS, SERVICE_PACE_STREAMS} from './constants.js';

type Pace = {readonly streams: number; readonly logPace: number};
type ServicePaces = {mean: Pace; readonly byModel: Map<string, Pace>};

function add({streams, logPace}: Pace, value: number): Pace {
	return {streams: Math.min(MODEL_PACE_STREAMS, streams + 1), logPace: ((streams * logPace) + value) / (streams + 1)};
}

/** Times per event of models at a target of mean speed, from the streams of this host. */
export class ModelPaces {
	private readonly services = new Map<string, ServicePaces>();

	/** Records the logarithm of the milliseconds per event of a stream. */
	record(service: string, model: string, logPace: number): void {
		const known = this.services.get(service) ?? {mean: {streams: 0, logPace: 0}, byModel: new Map<string, Pace>()};
		this.services.set(service, known);
		const pace = known.byModel.get(model) ?? {streams: 0, logPace: 0};
		known.mean = add(known.mean, logPace);
		// The model that was not used for the longest time comes first.
		known.byModel.delete(model);
		known.byModel.set(model, add(pace, logPace));
		const [oldest] = known.byModel.keys();
		if (known.byModel.size > MAX_PACE_MODELS && oldest !== undefined) {
			known.byModel.delete(oldest);
		}
	}

	/** Milliseconds per event; with few streams of the model close to the mean of its service, and undefined before the first stream of that. */
	getPaceMs(service: string, model: string): number | undefined {
		const known = this.services.get(service);
		if (!known) {
			return undefined;
		}

		const {streams = 0, logPace = 0} = known.byModel.get(model) ?? {};
		return Math.exp(((streams * logPace) + (SERVICE_PACE_STREAMS * known.mean.logPace)) / (streams + SERVICE_PACE_STREAMS));
	}
}
