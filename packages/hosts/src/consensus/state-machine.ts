/** Whether operators want a member in the log or out of it. */
export type DesiredMembership = 'voter' | 'absent';

/** State that every member derives from the same committed commands. */
export abstract class StateMachine<Command, Result> {
	/** Runs on the leader before a command is logged, for instance to add elapsed time. */
	prepare(command: Command, _term: number, _nowMs: number): Command {
		return command;
	}

	/** Members that operators added or removed; the leader changes the membership one member at a time to match. */
	getDesiredMemberships(): ReadonlyMap<string, DesiredMembership> {
		return new Map();
	}

	/** Throws when the command is not valid. */
	abstract encode(command: Command): Uint8Array;
	/** Must depend on nothing but the state and its arguments. */
	abstract apply(data: Uint8Array, index: number): Result;
	abstract snapshot(): Uint8Array;
	/** Replaces the state, or throws and leaves it unchanged when the bytes are not valid. */
	abstract restore(data: Uint8Array): void;
}

/** The part of a state machine that does not depend on its command type. */
export type ReplicatedStateMachine = Pick<StateMachine<unknown, unknown>, 'getDesiredMemberships' | 'apply' | 'snapshot' | 'restore'>;
