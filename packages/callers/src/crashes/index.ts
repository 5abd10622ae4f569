export * from './assess-keys.js';
export * from './constants.js';
export * from './crash-gate.js';
export * from './crash-tracker.js';
export * from './key-evidence.js';
export * from './request-keys.js';
export * from './types.js';
