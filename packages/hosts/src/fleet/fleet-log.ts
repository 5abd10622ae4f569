import type {Clock} from '@egretrill/common';
import {z} from 'zod';
import {
	COMMAND_DEADLINE_MS, COMMAND_RETRY_MS, PROPOSE_TIMEOUT_MS, RECORD_DEADLINE_MS,
} from '../constants.js';
import type {ConsensusNode} from '../consensus/index.js';
import type {PeerCaller} from '../membership/index.js';
import {bindMethod, defineDocumentMethod, type MethodHandler} from '../transport/index.js';
import {FleetCommand, FleetResult, type ProposeOutcome} from '../types.js';

const ProposeAnswer = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('committed'), index: z.int(), result: FleetResult}),
	z.object({kind: z.literal('not-leader'), leaderId: z.string().optional()}),
	z.object({kind: z.literal('unknown')}),
]);

/** Proposes a command to the leader. */
export const proposeMethod = defineDocumentMethod('Fleet', 'propose', z.object({command: FleetCommand}), ProposeAnswer);

/** Outcome of a command. With `not-applied` it certainly takes no effect; with `unknown` it may or may not be applied. */
export type CommandOutcome =
	| {readonly kind: 'committed'; readonly result: FleetResult}
	| {readonly kind: 'not-applied'; readonly reason: string}
	| {readonly kind: 'unknown'; readonly reason: string};

export type FleetNode = ConsensusNode<FleetCommand, FleetResult>;

export type FleetLogOptions = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly peers: PeerCaller;
	/** Only present on hosts that are members of the log. */
	readonly node?: FleetNode;
	readonly getLeaderId: () => string | undefined;
	/** Upper bound of the time since the leader confirmed this host's configuration. */
	readonly getAgeMs: () => number;
	/** Aborts when this host ends; commands in progress then end without a known outcome. */
	readonly ended?: AbortSignal;
};

/** A `record` command is never retried: the retry would find the first record and could not distinguish it from another caller's. */
function isRetryable(command: FleetCommand): boolean {
	return command.kind !== 'record';
}

/** Serves commands that other hosts propose to this one. */
export function bindFleetLog(node: FleetNode): MethodHandler {
	return bindMethod(proposeMethod, async ({command}): Promise<ProposeOutcome<FleetResult>> => node.propose(command));
}

/** Proposes commands to the leader from any host. */
export class FleetLog {
	constructor(private readonly opts: FleetLogOptions) {}

	/** Proposes a command until a leader commits it or the deadline passes; after an unknown outcome, only a retryable command is sent again. */
	async propose(command: FleetCommand, deadlineMs = isRetryable(command) ? COMMAND_DEADLINE_MS : RECORD_DEADLINE_MS): Promise<CommandOutcome> {
		const {clock, getAgeMs, ended} = this.opts;
		if (!isRetryable(command) && getAgeMs() > RECORD_DEADLINE_MS) {
			return {kind: 'not-applied', reason: 'This host is cut off from the leader.'};
		}

		const endMs = clock.now() + deadlineMs;
		let leaderHint: string | undefined;
		let isOutcomeUnknown = false;
		for (let attempt = 0; clock.now() < endMs && !ended?.aborted; attempt++) {
			const leaderId = leaderHint ?? this.getLeaderCandidate(attempt);
			const outcome = leaderId === undefined ? undefined : await this.proposeUntilEnded(leaderId, command, endMs - clock.now());
			if (outcome?.kind === 'committed') {
				return {kind: 'committed', result: outcome.result};
			}

			if (outcome?.kind === 'unknown') {
				isOutcomeUnknown = true;
				if (!isRetryable(command)) {
					break;
				}
			}

			leaderHint = outcome?.kind === 'not-leader' ? outcome.leaderId : undefined;
			await clock.sleep(COMMAND_RETRY_MS, ended);
		}

		return isOutcomeUnknown
			? {kind: 'unknown', reason: 'The leader did not confirm the command.'}
			: {kind: 'not-applied', reason: 'No leader took the command.'};
	}

	/** Alternates between the known leader and the voters in turn, since the known leader may be outdated. */
	private getLeaderCandidate(attempt: number): string | undefined {
		const leaderId = this.opts.getLeaderId();
		if (leaderId !== undefined && attempt % 2 === 0) {
			return leaderId;
		}

		const voterIds = this.opts.peers.getVoterIds();
		return voterIds[attempt % Math.max(1, voterIds.length)];
	}

	private async proposeUntilEnded(hostId: string, command: FleetCommand, remainingMs: number): Promise<ProposeOutcome<FleetResult> | undefined> {
		const {ended} = this.opts;
		let end = (): void => undefined;
		const unknown = new Promise<ProposeOutcome<FleetResult>>(resolve => {
			end = () => {
				resolve({kind: 'unknown'});
			};
		});
		ended?.addEventListener('abort', end, {once: true});
		try {
			return await Promise.race([this.proposeTo(hostId, command, remainingMs), unknown]);
		} finally {
			ended?.removeEventListener('abort', end);
		}
	}

	private async proposeTo(hostId: string, command: FleetCommand, remainingMs: number): Promise<ProposeOutcome<FleetResult> | undefined> {
		const {node, peers, hostId: self} = this.opts;
		const timeoutMs = Math.min(PROPOSE_TIMEOUT_MS, remainingMs);
		if (hostId === self) {
			return node?.propose(command, timeoutMs);
		}

		const answer = await peers.call(hostId, proposeMethod, {command}, timeoutMs);
		if (answer.isOk) {
			return answer.value;
		}

		const isUndelivered = answer.error.code === 'unreachable' || answer.error.code === 'refused';
		return isUndelivered ? undefined : {kind: 'unknown'};
	}
}
