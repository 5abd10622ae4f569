export * from './config-follower.js';
export * from './config-origin.js';
export * from './follow-method.js';
export * from './in-force.js';
export * from './types.js';
