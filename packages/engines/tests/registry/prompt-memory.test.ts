import {ManualClock, type Registration} from '@egretrill/common';
import {expect} from 'chai';
import {
	estimateRetention, type ExpectedPrefix, type PartUse, type PrefixMemory, TargetTable, type TargetRequirements,
} from '../../src/registry/index.js';

const MEMORY_TOKENS = 43_406;
const SHARED = {id: 'shared', tokens: 400};

const memory: PrefixMemory = {
	capacityTokens: MEMORY_TOKENS, outstanding: 11, otherRequests: 10, meanTokens: 1200, meanNewTokens: 700, meanRunMs: 1400, knownForMs: 60_000,
};
const idle: PrefixMemory = {...memory, outstanding: 0, otherRequests: 0};
const crowded: PrefixMemory = {...memory, outstanding: 30, otherRequests: 29};
const sent: PartUse = {sinceSentMs: 10_000, ownWrittenTokens: 0, otherSendsPerMs: 0};

function getPercent(use: PartUse, load: PrefixMemory): number {
	return Math.round(estimateRetention(use, load) * 100);
}

function register(targetId: string): Registration {
	return {
		targetId, startedAtMs: 1, sequence: 1, service: 's', address: `${targetId}:1`, zone: 'a', slots: 12, isLeaving: false, coldForMs: 0,
		models: [{name: 'm', version: 1, adapters: []}], inMemory: [], onDisk: [],
	};
}

function createRequest(session: string): TargetRequirements {
	return {
		service: 's', model: 'm', parts: [SHARED, {id: session, tokens: 800}], tried: new Set(), work: {
			promptTokens: 1300, outputTokens: 200, targetLatencyMs: 253, mayReuseConnection: true,
		},
	};
}

/** A host's table of two targets, one of which gets requests first. */
class Scene {
	readonly clock = new ManualClock();
	readonly prefixes: ExpectedPrefix[] = [];
	readonly table: TargetTable;

	constructor(memoryTokens: number | undefined) {
		this.table = new TargetTable({
			clock: this.clock, random: () => 0, zone: 'a', getColdRate: () => 0, getBatchSlots: () => 40, promptMemory: {
				getMemoryTokens: () => memoryTokens, getHostCount: () => 70, onSend: prefix => {
					this.prefixes.push({named: prefix.named, best: Math.round(prefix.best), chosen: Math.round(prefix.chosen)});
				},
			},
		});
		this.table.update({
			origin: 'r', revision: 1, isWhole: true, targets: ['first', 'second'].map(id => ({registration: register(id), ageMs: 0, hasEnded: false})),
		});
	}

	/** Sends a request to the target that is chosen for it and completes its answer. */
	send(session: string): string {
		const req = createRequest(session);
		const choice = this.table.choose(req);
		if (choice.kind !== 'target') {
			return choice.kind;
		}

		const slot = this.table.acquireSlot(choice.targetId, req);
		this.clock.advance(1400);
		slot?.release('answered');
		return choice.targetId;
	}

	/** Lets time pass during which the other hosts have requests at the targets. */
	pass(seconds: number, first: number, second: number): void {
		for (let i = 0; i < seconds; i += 1) {
			this.clock.advance(1000);
			this.table.setOtherHostsRequests([['first', first], ['second', second]]);
		}
	}
}

describe('Memory of prompt prefixes', () => {
	// Guards against a saving that is expected long after other prompts have displaced the prefix, and against an idle engine that counts as empty.
	it('keeps a part at an idle engine and loses it at a crowded one', () => {
		expect({
			idle: getPercent(sent, idle),
			idleAfterAnHour: getPercent({...sent, sinceSentMs: 3_600_000}, idle),
			ownPrompts: getPercent({...sent, ownWrittenTokens: 60_000}, idle),
			busy: [1000, 3000, 6000, 10_000, 20_000].map(sinceSentMs => getPercent({...sent, sinceSentMs}, memory)),
			crowded: [1000, 3000, 6000].map(sinceSentMs => getPercent({...sent, sinceSentMs}, crowded)),
		}).toMatchSnapshot();
	});

	// Guards against shared parts that count as lost although other hosts send them all the time, or at a process that has just started.
	it('keeps shared parts at a crowded engine, also where this host has not sent them', () => {
		const shared = {...sent, sinceSentMs: undefined, otherSendsPerMs: 0.003};
		expect({crowded: getPercent(shared, crowded), busy: getPercent(shared, memory), justStarted: getPercent(shared, {...memory, knownForMs: 50})}).toMatchSnapshot();
	});

	// Guards against a request that waits at a crowded engine for a prefix that is gone or saves less than the wait.
	it('moves the choice to a less crowded target when the wait costs more than the saving', () => {
		const outcomes = [MEMORY_TOKENS, undefined].map(memoryTokens => [[10, 0, 0], [10, 2, 0], [1, 4, 0], [10, 30, 28]].map(([seconds = 0, first = 0, second = 0]) => {
			const scene = new Scene(memoryTokens);
			const before = scene.send('a');
			scene.pass(seconds, first, second);
			const after = scene.send('a');
			return {
				seconds, first, second, before, after, prefix: scene.prefixes.at(-1),
			};
		}));
		expect({known: outcomes[0], unknown: outcomes[1]}).toMatchSnapshot();
	});

	// Guards against the sessions of one host that displace each other unnoticed.
	it('counts complete answers as written', () => {
		const scene = new Scene(8000);
		for (let i = 0; i < 20; i += 1) {
			scene.send(`session ${i}`);
		}

		scene.send('session 19');
		scene.send('session 0');
		expect(scene.prefixes.slice(-2)).toMatchSnapshot();
	});
});
