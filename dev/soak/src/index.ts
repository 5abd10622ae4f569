export * from './check-calls.js';
export * from './report.js';
export * from './run-soak.js';
export type * from './types.js';
