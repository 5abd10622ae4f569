export * from './config-follower.js';
export * from './versioned-config-source.js';
export * from './follow-method.js';
export * from './in-force-reports.js';
export * from './types.js';
