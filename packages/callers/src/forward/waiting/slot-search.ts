import {refuse, type Verdict} from '@egretrill/common';
import type {SentRequest} from '../../crashes/index.js';
import {refuseKeyBeforeSend} from '../refuse-key.js';
import {refuseBeforeStop} from '../stops/refuse-before-stop.js';
import {MIN_RETRY_AFTER_MS, MIN_RETURN_GAP_MS, MIN_TIME_LEFT_TO_SEND_MS} from '../constants.js';
import type {ForwardContext} from '../forward-context.js';
import {listKeys} from '../list-keys.js';
import type {SlotWait} from './waiter.js';
import type {SlotRequirements, TargetSlot} from './slot-source.js';
import {getWaitLimits} from './wait-limits.js';

function getRequirements({call, service, progress, table, deps, route}: ForwardContext): SlotRequirements {
	const usesModel = table.services.get(service)?.engine !== undefined;
	return {
		service, parts: call.promptParts, tried: progress.tried, work: deps.sizes.getExpected(route, call), ...(usesModel && {model: call.model, adapter: call.adapter}),
	};
}

function getPriority({customer, route}: ForwardContext): number {
	return customer?.priority ?? route.priority;
}

/** A slot for one attempt of a request that may be sent now. */
export type AttemptSlot = {readonly slot: TargetSlot; readonly sent: SentRequest};

/** Registers the request as sent to the target of a slot; frees the slot if the request has to wait after all. */
function start(context: ForwardContext, slot: TargetSlot): AttemptSlot | undefined {
	const sent = context.deps.crashGate.start(listKeys(context));
	if (!sent) {
		slot.release('unsent');
		return undefined;
	}

	return {slot, sent};
}

/** Waits for a slot at a target to which the request has not been sent yet, and for the verdict on keys of the request that are suspected. */
export async function acquireSlot(context: ForwardContext): Promise<AttemptSlot | Verdict> {
	const {deps: {clock, crashGate}, endsMs, progress, signal} = context;
	const startedMs = clock.now();
	try {
		for (;;) {
			const remainingMs = endsMs - clock.now();
			if (remainingMs < MIN_TIME_LEFT_TO_SEND_MS) {
				return refuse(503, 'out-of-time', 'The time of the request is over.', MIN_RETRY_AFTER_MS);
			}

			const refusal = await crashGate.waitForTurn(listKeys(context), remainingMs, signal);
			const found = refusal ?? await waitForSlot(context);
			if ('status' in found) {
				return found;
			}

			const started = start(context, found);
			if (started) {
				return started;
			}
		}
	} finally {
		progress.waitMs += clock.now() - startedMs;
	}
}

/** What decides on the order of a waiting request. A caller that returns after a refusal arrives under a new id, but has less time than its route allows. */
function describeWaiting({call: {timeLeftMs}, route: {targetLatencyMs, timeoutMs}, endsMs, customer}: ForwardContext): Pick<SlotWait, 'targetLatencyMs' | 'dueMs' | 'endsMs' | 'isReturning' | 'customer'> {
	const limitMs = Math.min(timeoutMs, timeLeftMs ?? timeoutMs);
	return {
		targetLatencyMs, dueMs: endsMs - limitMs + targetLatencyMs, endsMs, isReturning: timeoutMs - limitMs >= MIN_RETURN_GAP_MS, ...(customer && {customer: customer.name}),
	};
}

async function waitForSlot(context: ForwardContext): Promise<TargetSlot | Verdict> {
	const {deps: {clock, queue, crashGate}, route, endsMs, signal, exchange} = context;
	const wait = {
		...getWaitLimits(route, endsMs - clock.now()),
		...describeWaiting(context),
		getRefusal: () => refuseBeforeStop({...context, hasStarted: exchange.hasStarted()}, 'send') ?? refuseKeyBeforeSend(context) ?? crashGate.getRefusal(listKeys(context)),
	};
	const acquired = await queue.acquire(getRequirements(context), getPriority(context), wait, signal);
	return acquired.isOk ? acquired.value : acquired.error;
}

/** Takes a slot that is free now at a target to which the request has not been sent yet, and which is not silent if `avoidsSilent`. */
export function takeFreeSlot(context: ForwardContext, avoidsSilent: boolean): AttemptSlot | undefined {
	if (!context.deps.crashGate.mayStart(listKeys(context))) {
		return undefined;
	}

	const slot = context.deps.queue.takeFree({...getRequirements(context), avoidsSilent}, getPriority(context));
	return slot && start(context, slot);
}
