/** A caller that accepts no byte for this long has its work cancelled. */
export const CALLER_STALL_MS = 60_000;

/** Time left after which a queued request is not started any more. */
export const MIN_WORK_MS = 50;

export const MAX_ATTEMPTS = 3;

/** Tokens assumed per character of a prompt, used only until the engine reports its count. */
export const TOKENS_PER_CHARACTER = 0.25;

/** Headers that belong to one hop or to the caller's identity and never reach a target. */
export const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
	'authorization', 'proxy-authorization', 'cookie', 'x-api-key', 'host', 'connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'content-length', 'expect', 'accept-encoding',
]);
