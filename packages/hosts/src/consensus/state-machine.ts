/** Membership that operators requested for a member: part of the log as a voter, or removed. */
export type DesiredMembership = 'voter' | 'absent';

/** Replicated state machine: every member applies the same committed commands. */
export abstract class StateMachine<Command, Result> {
	/** Called on the leader before a command is logged, for instance to add the elapsed time. */
	prepare(command: Command, _term: number, _nowMs: number): Command {
		return command;
	}

	/** Whether the command requests a change of the members, which a fleet that is not complete yet accepts. */
	isMemberRequest(_command: Command): boolean {
		return false;
	}

	/** Members that operators added or removed; the leader adjusts the membership to match, one member at a time. */
	getDesiredMemberships(): ReadonlyMap<string, DesiredMembership> {
		return new Map();
	}

	/** Throws if the command is not valid. */
	abstract encode(command: Command): Uint8Array;
	/** Must be deterministic: the result depends only on the state and the arguments. */
	abstract apply(data: Uint8Array, index: number): Result;
	abstract snapshot(): Uint8Array;
	/** Decodes a snapshot, or throws if the bytes are not valid; the returned function replaces the state. */
	abstract prepareRestore(data: Uint8Array): () => void;
}

/** The part of a state machine that does not depend on its command type. */
export type ReplicatedStateMachine = Pick<StateMachine<unknown, unknown>, 'getDesiredMemberships' | 'apply' | 'snapshot' | 'prepareRestore'>;
