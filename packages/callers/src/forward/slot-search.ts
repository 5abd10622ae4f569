import {refuse, type Verdict} from '@egretrill/common';
import {checkStop} from './check-stop.js';
import {MIN_RETRY_AFTER_MS, MIN_TIME_LEFT_TO_SEND_MS} from './constants.js';
import type {ForwardContext} from './forward-context.js';
import type {SlotRequirements, TargetSlot} from './slot-queue.js';
import {getWaitLimits} from './wait-limits.js';

function getRequirements({call, service, progress, table}: ForwardContext): SlotRequirements {
	const usesModel = table.services.get(service)?.engine !== undefined;
	return {
		service, parts: call.promptParts, tried: progress.tried, ...(usesModel && {model: call.model, adapter: call.adapter}),
	};
}

function getPriority({customer, route}: ForwardContext): number {
	return customer?.priority ?? route.priority;
}

/** Waits for a slot at a target to which the request has not been sent yet. */
export async function acquireSlot(context: ForwardContext): Promise<TargetSlot | Verdict> {
	const {deps: {clock, queue}, route, progress, endsMs, signal, exchange} = context;
	const startedMs = clock.now();
	const remainingMs = endsMs - startedMs;
	if (remainingMs < MIN_TIME_LEFT_TO_SEND_MS) {
		return refuse(503, 'out-of-time', 'The time of the request is over.', MIN_RETRY_AFTER_MS);
	}

	const wait = {...getWaitLimits(route, remainingMs), getRefusal: () => checkStop({...context, hasStarted: exchange.hasStarted()}, 'send')};
	const acquired = await queue.acquire(getRequirements(context), getPriority(context), wait, signal);
	progress.waitMs += clock.now() - startedMs;
	return acquired.isOk ? acquired.value : acquired.error;
}

/** Takes a slot that is free now at a target to which the request has not been sent yet. */
export function takeFreeSlot(context: ForwardContext): TargetSlot | undefined {
	return context.deps.queue.takeFree(getRequirements(context), getPriority(context));
}
