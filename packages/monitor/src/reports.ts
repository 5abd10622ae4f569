import type {z} from 'zod';
import type {MonitorView} from './monitor-view.js';
import type {PromiseCounters} from './promise-counters.js';
import type {MonitorAnswers, MonitoredConfig} from './types.js';

type ReportName = keyof typeof MonitorAnswers;
type Report<Name extends ReportName> = z.infer<(typeof MonitorAnswers)[Name]>;

/** A function for each resource of the read API that returns its content. */
export type Reports = {readonly [Name in ReportName]: (config: MonitoredConfig) => Promise<Report<Name>>};

/** Creates the reports for the API and the page. */
export function createReports(view: MonitorView, promises: PromiseCounters): Reports {
	return {
		customers: async ({version, document}) => ({version, customers: document.customers.map(({id, weight, keyLeaseMs}) => ({id, weight, keyLeaseMs}))}),
		rates: async ({version, document}) => ({version, rates: document.customers.map(({id, rate}) => ({customer: id, ...rate}))}),
		keys: async ({version, document}) => ({version, keys: await Promise.all(document.keys.map(async key => ({...key, state: await view.getKeyState(key.id)})))}),
		placements: async ({version, document}) => ({version, ...document.placements, copies: [...await view.getCopies()]}),
		zones: async ({version, document}) => ({version, zones: document.zones}),
		promises: async ({version}) => ({version, promises: [...promises.getCounts()]}),
	};
}
