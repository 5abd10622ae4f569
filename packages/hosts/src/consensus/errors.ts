/** Thrown for a peer message that violates the protocol; the message is rejected without changing any state. */
export class ProtocolError extends Error {
	override readonly name = 'ProtocolError';
}

/** Thrown by calls to a member that has stopped or has not read its log yet. */
export class StoppedError extends Error {
	override readonly name = 'StoppedError';
}
