import {setImmediate} from 'node:timers/promises';
import {createRandom, ManualClock, type Random} from '@egretrill/common';
import {
	answerCrashReport, CrashExchange, CrashGate, CrashTracker, getPartKeys, getRequestKey, grantProbes, type RankedKey, type SentRequest,
} from '../../../src/index.js';

const STEP_MS = 10;
const DEFAULT_POLL_MS = 250;
/** Time of a message between hosts, and share of the polls that the leader holds when there is news. */
const MESSAGE_MS = 20;
const HELD_SHARE = 0.6;
const MAX_WAIT_MS = 1500;
const MAX_SLOT_WAIT_MS = 4000;
const RESTART_MS = 3500;
const MIN_READ_MS = 40;
const MAX_READ_MS = 300;
const ANSWER_MS = 900;

export type CrashScenario = {
	readonly seed: number;
	readonly durationMs: number;
	readonly requestsPerSecond: number;
	/** Share of the requests that hold the harmful part, from this time on. */
	readonly harmfulShare: number;
	readonly harmfulFromMs: number;
	/** Time from which on targets survive the harmful part, which still arrives. */
	readonly mendedAtMs?: number;
	/** Ends of targets for other reasons, per second. */
	readonly otherEndsPerSecond?: number;
	/** Share of the polls that are lost. */
	readonly lossShare?: number;
	/** Time at which another leader takes over, without what the first one knew. */
	readonly newLeaderAtMs?: number;
	/** Times that a harmful request comes again, unchanged, after its target ended. */
	readonly repeats?: number;
	/** Whether one request is harmful as a whole, each time it comes, rather than a part. */
	readonly isRequestHarmful?: boolean;
	/** Whether the harmful part is in all requests of its subject, rather than beside sound ones. */
	readonly isSubjectHarmful?: boolean;
	readonly hosts?: number;
	readonly targets?: number;
	readonly pollMs?: number;
};

export type CrashOutcome = {
	/** Times of the ends under the harmful part, and of the sends of requests with it. */
	readonly endsMs: readonly number[];
	readonly harmfulSendsMs: readonly number[];
	/** Times of the answers to requests with the harmful part. */
	readonly servedHarmfulMs: readonly number[];
	readonly sound: readonly SoundRequest[];
};

/** How a sound request ended: answered, lost with its target, or refused because of the evidence, for a while or for good. */
export type SoundEnd = 'served' | 'lost' | 'refused' | 'denied';

type SoundRequest = {readonly arrivedMs: number; readonly end: SoundEnd};

type Host = {readonly tracker: CrashTracker; readonly gate: CrashGate; readonly exchange: CrashExchange; nextPollMs: number};
type Target = {id: string; isUp: boolean; upAtMs: number; lifetimes: number};
type Call = {
	readonly host: Host; readonly keys: readonly RankedKey[]; readonly isHarmful: boolean; readonly arrivedMs: number; readonly repeatsLeft: number;
	mayStart?: boolean; sent?: SentRequest; target?: Target; startId?: string; firstMs?: number; endMs?: number;
};

/** Entry hosts that exchange evidence with a leader, and targets of which some end; the scenario's oracle knows which part is harmful. */
export class SimulatedCrashes {
	private readonly clock = new ManualClock();
	private readonly random: Random;
	private readonly hosts: readonly Host[];
	private readonly pollMs: number;
	private readonly targets: readonly Target[];
	private leader: CrashTracker;
	private calls: readonly Call[] = [];
	private requests = 0;
	private readonly endsMs: number[] = [];
	private readonly harmfulSendsMs: number[] = [];
	private readonly servedHarmfulMs: number[] = [];
	private readonly sound: SoundRequest[] = [];

	constructor(private readonly scenario: CrashScenario) {
		const {hosts = 8, targets = 12, pollMs = DEFAULT_POLL_MS} = scenario;
		this.pollMs = pollMs;
		this.random = createRandom(scenario.seed);
		this.leader = new CrashTracker(this.clock, 'leader-1');
		this.hosts = Array.from({length: hosts}, (_, i) => {
			const tracker = new CrashTracker(this.clock, `host-${i}`);
			const gate = new CrashGate(this.clock, tracker);
			return {
				tracker, gate, exchange: new CrashExchange(tracker, gate), nextPollMs: this.random() * pollMs,
			};
		});
		this.targets = Array.from({length: targets}, (_, i) => ({
			id: `t${i}`, isUp: true, upAtMs: 0, lifetimes: 0,
		}));
	}

	async run(): Promise<CrashOutcome> {
		const {durationMs, newLeaderAtMs = Number.POSITIVE_INFINITY} = this.scenario;
		while (this.clock.now() < durationMs) {
			this.clock.advance(STEP_MS);
			await setImmediate();
			if (this.leader.origin === 'leader-1' && this.clock.now() >= newLeaderAtMs) {
				this.leader = new CrashTracker(this.clock, 'leader-2');
			}

			this.restartTargets();
			this.addCalls();
			this.endTargets();
			for (const call of this.calls) {
				this.proceed(call);
			}

			this.poll();
		}

		const {endsMs, harmfulSendsMs, servedHarmfulMs, sound} = this;
		return {
			endsMs, harmfulSendsMs, servedHarmfulMs, sound,
		};
	}

	private restartTargets(): void {
		for (const target of this.targets) {
			if (!target.isUp && this.clock.now() >= target.upAtMs) {
				target.isUp = true;
				target.lifetimes += 1;
			}
		}
	}

	private addCalls(): void {
		const {requestsPerSecond} = this.scenario;
		const expectedCount = requestsPerSecond * STEP_MS / 1000;
		const count = Math.floor(expectedCount) + Number(this.random() < expectedCount % 1);
		for (let i = 0; i < count; i++) {
			this.addRequest();
		}
	}

	private addRequest(): void {
		const {harmfulShare, harmfulFromMs, isSubjectHarmful = false, isRequestHarmful = false} = this.scenario;
		this.requests += 1;
		const nowMs = this.clock.now();
		const isHarmful = nowMs >= harmfulFromMs && this.random() < harmfulShare;
		const subject = isHarmful ? 0 : Math.floor(this.random() * 40) + Number(isSubjectHarmful);
		const parts = ['first', `subject-${subject}`, ...(isHarmful && !isSubjectHarmful && !isRequestHarmful ? ['harmful'] : []), `own-${this.requests}`];
		const requestKey = getRequestKey(isHarmful && isRequestHarmful ? 'harmful' : `r${this.requests}`, 0);
		this.addCall([...getPartKeys(parts), requestKey], isHarmful, this.scenario.repeats ?? 0);
	}

	private addCall(keys: readonly RankedKey[], isHarmful: boolean, repeatsLeft: number): void {
		const host = this.hosts[Math.floor(this.random() * this.hosts.length)];
		if (host) {
			const call: Call = {
				host, keys, isHarmful, arrivedMs: this.clock.now(), repeatsLeft,
			};
			this.calls = [...this.calls, call];
			void this.admit(call);
		}
	}

	private endTargets(): void {
		const up = this.targets.filter(({isUp}) => isUp);
		const target = up[Math.floor(this.random() * up.length)];
		if (target && this.random() < (this.scenario.otherEndsPerSecond ?? 0) * STEP_MS / 1000) {
			this.endTarget(target);
		}
	}

	private proceed(call: Call): void {
		const nowMs = this.clock.now();
		if (!call.sent) {
			this.trySend(call);
			return;
		}

		if (call.firstMs !== undefined && nowMs >= call.firstMs) {
			if (call.isHarmful && call.target && nowMs < (this.scenario.mendedAtMs ?? Number.POSITIVE_INFINITY)) {
				this.endsMs.push(nowMs);
				this.endTarget(call.target);
				return;
			}

			call.sent.recordEvent();
		}

		if (call.endMs !== undefined && nowMs >= call.endMs) {
			call.sent.complete();
			this.finish(call, 'served');
		}
	}

	private async admit(call: Call): Promise<void> {
		call.mayStart = false;
		const refusal = await call.host.gate.waitForTurn(call.keys, MAX_WAIT_MS, new AbortController().signal);
		call.mayStart = true;
		if (refusal) {
			this.finish(call, refusal.status === 422 ? 'denied' : 'refused');
		}
	}

	private trySend(call: Call): void {
		const {host: {gate}, keys, arrivedMs, mayStart} = call;
		if (!mayStart) {
			return;
		}

		const nowMs = this.clock.now();
		const up = this.targets.filter(({isUp}) => isUp);
		const target = up[Math.floor(this.random() * up.length)];
		if (nowMs - arrivedMs > MAX_SLOT_WAIT_MS) {
			this.finish(call, 'lost');
			return;
		}

		const sent = target && gate.start(keys);
		if (target && !sent) {
			void this.admit(call);
		}

		if (sent) {
			call.sent = sent;
			call.target = target;
			call.startId = `${target.id}@${target.lifetimes}`;
			call.firstMs = nowMs + MIN_READ_MS + (this.random() * (MAX_READ_MS - MIN_READ_MS));
			call.endMs = call.firstMs + ANSWER_MS;
			if (call.isHarmful) {
				this.harmfulSendsMs.push(nowMs);
			}
		}
	}

	/** Ends a target with all its calls; those whose answers have not gone on are evidence at their hosts. */
	private endTarget(target: Target): void {
		target.isUp = false;
		target.upAtMs = this.clock.now() + RESTART_MS;
		for (const call of this.calls.filter(other => other.target === target)) {
			if (call.sent && !call.sent.isSettled()) {
				call.host.tracker.recordEnd(call.keys, call.startId ?? '');
				call.host.nextPollMs = Math.min(call.host.nextPollMs, this.clock.now() + MESSAGE_MS);
				call.sent.release();
			}

			this.finish(call, 'lost');
			if (call.isHarmful && call.repeatsLeft > 0) {
				this.addCall(call.keys, true, call.repeatsLeft - 1);
			}
		}
	}

	private finish(call: Call, end: SoundEnd): void {
		this.calls = this.calls.filter(other => other !== call);
		if (!call.isHarmful) {
			this.sound.push({arrivedMs: call.arrivedMs, end});
		} else if (end === 'served') {
			this.servedHarmfulMs.push(this.clock.now());
		}
	}

	private poll(): void {
		for (const host of this.hosts.filter(({nextPollMs}) => nextPollMs <= this.clock.now())) {
			host.nextPollMs = this.clock.now() + (this.pollMs * (0.5 + this.random()));
			if (this.random() >= (this.scenario.lossShare ?? 0)) {
				this.exchange(host);
			}
		}
	}

	/** Exchanges evidence with the leader, which wakes the polls that it holds if any of it is new. */
	private exchange({exchange}: Host): void {
		const report = exchange.createReport();
		const isNew = this.leader.mergeReport(report.records);
		const answer = answerCrashReport(this.leader, report, grantProbes(this.leader, report));
		if (this.random() >= (this.scenario.lossShare ?? 0)) {
			exchange.applyAnswer(answer);
		}

		for (const other of isNew ? this.hosts : []) {
			if (this.random() < HELD_SHARE) {
				other.nextPollMs = Math.min(other.nextPollMs, this.clock.now() + MESSAGE_MS);
			}
		}
	}
}
