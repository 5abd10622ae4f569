/** A message from a peer that no correct member sends; it is refused and changes nothing. */
export class ProtocolError extends Error {
	override readonly name = 'ProtocolError';
}

/** A call to a member that has stopped. */
export class StoppedError extends Error {
	override readonly name = 'StoppedError';
}
