export const HEARTBEAT_INTERVAL_MS = 1000;
export const PROMPT_TOKENS = 8;
export const SERVICE_LIMIT = 64;
