import {z} from 'zod';
import {
	MAX_MODEL_KINDS, MAX_REPORTED_MODELS, MAX_REPORTED_NAME_LENGTH, MAX_SHORTAGE_MODELS,
} from '../constants.js';

const count = z.int().nonnegative();
const name = z.string().max(MAX_REPORTED_NAME_LENGTH);

/** Requests of one kind at a model: priority, target latency, waiting for a slot, refused callers that are expected back, and arrivals: since the last poll in a report, per second in the figures. */
export const KindCounts = z.tuple([z.int(), z.number().nonnegative(), count, count, z.number().nonnegative()]);
export type KindCounts = z.infer<typeof KindCounts>;

/** What an entry host reports of its queue in each poll. */
export const QueueReport = z.object({
	/** Requests by service and model; the model is empty for services without models. */
	waiting: z.array(z.tuple([name, name, z.array(KindCounts).max(MAX_MODEL_KINDS)])).max(MAX_REPORTED_MODELS),
	/** Slots that became free since the last poll, as requests of this host ended: service, model, count. */
	slots: z.array(z.tuple([name, name, count])).max(MAX_REPORTED_MODELS),
});
export type QueueReport = z.infer<typeof QueueReport>;

/** Leaves only the services that match in a report. */
export function filterServices({waiting, slots}: QueueReport, matches: (service: string) => boolean): QueueReport {
	return {waiting: waiting.filter(([service]) => matches(service)), slots: slots.filter(([service]) => matches(service))};
}

/** Figures of all hosts for each model in shortage: service, model, slots that become free per second, kinds. */
export const ShortageFigures = z.array(z.tuple([name, name, z.number().nonnegative(), z.array(KindCounts).max(MAX_MODEL_KINDS)])).max(MAX_SHORTAGE_MODELS);
export type ShortageFigures = z.infer<typeof ShortageFigures>;

/** Key of a model in the figures and in the queues of a host. */
export function getQueueKey(service: string, model: string | undefined): string {
	return `${service}\n${model ?? ''}`;
}

/** Whether the names of a key are short enough for a report. */
export function isReportable(key: string): boolean {
	return splitQueueKey(key).every(({length}) => length <= MAX_REPORTED_NAME_LENGTH);
}

/** Returns the service and the model of a key. */
export function splitQueueKey(key: string): readonly string[] {
	return key.split('\n');
}
