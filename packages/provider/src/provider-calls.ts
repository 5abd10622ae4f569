import type {
	CallOutcome, DutyHolder, EngineOrder, UsageWindow,
} from './types.js';

/** Makes calls to the provider, one attempt each; `mayWrite` is called immediately before the write. */
export abstract class ProviderCalls {
	abstract reportUsage(usage: UsageWindow, holder: DutyHolder, mayWrite: () => boolean): Promise<CallOutcome>;
	abstract orderEngines(order: EngineOrder, holder: DutyHolder, mayWrite: () => boolean): Promise<CallOutcome>;
}
