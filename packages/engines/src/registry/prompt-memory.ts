import type {Clock} from '@egretrill/common';
import {CachedPrompts, getChains} from './cached-prompts.js';
import {PartSends} from './part-sends.js';
import {estimateKeptTokens, type PartUse, type PrefixMemory} from './prefix-retention.js';
import {RequestSizes} from './request-sizes.js';
import {getRecentOthers, type Target} from './tracked-target.js';
import type {TargetOutcome, TargetRequirements} from './types.js';

/** Tokens of a request's prompt parts: all of them, and those expected at the best target and at the chosen one. */
export type ExpectedPrefix = {readonly named: number; readonly best: number; readonly chosen: number};

export type PromptMemoryOptions = {
	/** Tokens that the memory of an engine of a service holds; undefined if the configuration does not say. */
	readonly getMemoryTokens: (service: string) => number | undefined;
	/** Number of entry hosts. */
	readonly getHostCount: () => number;
	/** Called for each request that is sent. */
	readonly onSend?: (prefix: ExpectedPrefix) => void;
};

/** Returns the tokens of a request's leading parts that a target is expected to hold. */
export type CountKeptTokens = (target: Target) => number;

type PromptRequest = Pick<TargetRequirements, 'service' | 'model' | 'parts' | 'work'>;

/** A chain of parts, and how often the other hosts are expected to send it to a target. */
type SharedPart = {readonly chain: string; readonly otherSendsPerMs: number};

/** Tokens of the prompt and of the expected output. */
function getTokens({work, parts}: PromptRequest): number {
	const partTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
	return Math.max(work?.promptTokens ?? 0, partTokens) + (work?.outputTokens ?? 0);
}

/** Estimates which prompt parts targets hold, from the requests of this host and the load of all hosts. */
export class PromptMemory {
	private readonly cachedPrompts = new CachedPrompts();
	private readonly partSends = new PartSends();
	private readonly sizes = new RequestSizes();
	/** Tokens that answered requests of this host have written, by the process of a target. */
	private readonly writtenTokens = new WeakMap<Target, number>();
	/** The last choice, which the send of its request follows. */
	private lastChoice: {readonly req: PromptRequest; readonly count: CountKeptTokens; best: number} | undefined;

	constructor(private readonly clock: Clock, private readonly opts: PromptMemoryOptions | undefined) {}

	/** Returns the counter of a request's kept tokens at each of the targets that hold its model. */
	createCounter(req: PromptRequest, holders: number): CountKeptTokens {
		const {service, model, parts} = req;
		this.lastChoice = undefined;
		if (model === undefined || parts.length === 0) {
			return () => 0;
		}

		const capacityTokens = this.opts?.getMemoryTokens(service);
		if (capacityTokens === undefined) {
			const count = this.cachedPrompts.createCounter(model, parts);
			return ({registration: {targetId}}) => count(targetId);
		}

		const count = this.createEstimator(req, holders, capacityTokens);
		const choice = {req, count, best: 0};
		this.lastChoice = choice;
		return target => {
			const tokens = count(target);
			choice.best = Math.max(choice.best, tokens);
			return tokens;
		};
	}

	/** Records a request that is sent to a target; the returned function records its end. */
	recordSend(target: Target, req: PromptRequest): (outcome: TargetOutcome) => void {
		const {service, model, parts} = req;
		const {targetId} = target.registration;
		const nowMs = this.clock.now();
		const keptTokens = this.recordExpected(target, req);
		if (model === undefined) {
			return () => undefined;
		}

		this.cachedPrompts.record(targetId, model, parts, {sentMs: nowMs, writtenTokens: this.getWrittenTokens(target)});
		if (keptTokens === undefined) {
			return () => undefined;
		}

		for (const chain of getChains(model, parts)) {
			this.partSends.record(chain, nowMs);
		}

		return outcome => {
			if (outcome === 'answered') {
				this.recordAnswer(target, service, {tokens: getTokens(req), keptTokens, sentMs: nowMs});
			}
		};
	}

	/** Forgets what the process of a target held. */
	removeTarget(targetId: string): void {
		this.cachedPrompts.removeTarget(targetId);
	}

	/** Returns the tokens that a target is expected to hold of a request; undefined if its memory is unknown. */
	private recordExpected(target: Target, req: PromptRequest): number | undefined {
		const capacityTokens = this.opts?.getMemoryTokens(req.service);
		if (capacityTokens === undefined || req.model === undefined) {
			return undefined;
		}

		const choice = this.lastChoice?.req === req ? this.lastChoice : undefined;
		const count = choice?.count ?? this.createEstimator(req, 1, capacityTokens);
		const chosen = count(target);
		if (req.parts.length > 0) {
			this.opts?.onSend?.({named: req.parts.reduce((sum, {tokens}) => sum + tokens, 0), best: Math.max(choice?.best ?? 0, chosen), chosen});
		}

		return chosen;
	}

	private recordAnswer(target: Target, service: string, {tokens, keptTokens, sentMs}: {readonly tokens: number; readonly keptTokens: number; readonly sentMs: number}): void {
		const newTokens = Math.max(0, tokens - keptTokens);
		this.writtenTokens.set(target, this.getWrittenTokens(target) + newTokens);
		this.sizes.record(service, {tokens, newTokens, runMs: this.clock.now() - sentMs});
	}

	private createEstimator(req: PromptRequest, holders: number, capacityTokens: number): CountKeptTokens {
		const {service, model = '', parts} = req;
		const nowMs = this.clock.now();
		const {meanTokens, meanNewTokens, meanRunMs} = this.sizes.get(service, getTokens(req));
		const shared = this.getSharedParts(getChains(model, parts), holders);
		return target => {
			const otherRequests = getRecentOthers(target, nowMs);
			const memory: PrefixMemory = {
				capacityTokens, otherRequests, meanTokens, meanNewTokens, meanRunMs, outstanding: target.ownRequests + otherRequests, knownForMs: nowMs - target.registeredMs,
			};
			const uses = this.getUses(target, shared, nowMs);
			return estimateKeptTokens(parts.map(({tokens}, i) => ({tokens, use: uses[i]!})), memory);
		};
	}

	/** Returns how often the other hosts are expected to send each chain to a target; they are taken to spread their requests over all targets with the model. */
	private getSharedParts(chains: readonly string[], holders: number): readonly SharedPart[] {
		const nowMs = this.clock.now();
		const otherHosts = (this.opts?.getHostCount() ?? 1) - 1;
		return chains.map(chain => ({chain, otherSendsPerMs: this.partSends.getSharedRate(chain, nowMs) * otherHosts / Math.max(1, holders)}));
	}

	private getWrittenTokens(target: Target): number {
		return this.writtenTokens.get(target) ?? 0;
	}

	private getUses(target: Target, shared: readonly SharedPart[], nowMs: number): readonly PartUse[] {
		const sends = this.cachedPrompts.getSends(target.registration.targetId);
		const writtenTokens = this.getWrittenTokens(target);
		return shared.map(({chain, otherSendsPerMs}) => {
			const send = sends?.get(chain);
			return {
				sinceSentMs: send && nowMs - send.sentMs,
				ownWrittenTokens: send ? writtenTokens - send.writtenTokens : 0,
				otherSendsPerMs,
			};
		});
	}
}
