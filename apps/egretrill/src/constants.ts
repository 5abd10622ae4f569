export const EXIT_DONE = 0;
export const EXIT_FAILED = 1;
export const EXIT_USAGE = 2;
export const EXIT_UNKNOWN = 3;
export const EXIT_CONFLICT = 4;

export const EXIT_CODES_TEXT = 'Exit codes: 0 done, 1 failed or refused, 2 wrong usage or invalid file, 3 outcome unknown, 4 conflict.';

export const ADMIN_ENV = 'EGRETRILL_ADMIN';
export const OPERATOR_KEY_ENV = 'EGRETRILL_OPERATOR_KEY';
export const OPERATOR_NAME_ENV = 'EGRETRILL_OPERATOR';

/** Longer than the fleet needs to elect a leader and commit, so that a slow answer does not count as lost. */
export const CALL_TIMEOUT_MS = 10_000;
export const CONNECT_TIMEOUT_MS = 2000;

/** Several times the size of the largest document that a host accepts, because answers contain the document with its defaults filled in. */
export const MAX_REPLY_BYTES = 67_108_864;

/** Attempts to send one change; the delays between them add up to more than an election, which takes 1 to 2 s. */
export const MAX_SEND_ATTEMPTS = 5;
export const RESEND_DELAY_MS = 750;

export const WITHDRAWAL_POLL_MS = 200;

/** Longer than the largest key lease (10 s with 1 % drift), after which every withdrawal is in force. */
export const WITHDRAWAL_WAIT_MS = 15_000;

export const HELP_WIDTH_COLUMNS = 110;

export const MAX_BENCH_REQUESTS = 100_000;
export const MAX_BENCH_CONCURRENCY = 256;
export const BENCH_TIMEOUT_MS = 60_000;
export const BENCH_MAX_TOKENS = 16;
