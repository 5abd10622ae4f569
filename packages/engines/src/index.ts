export * from './client/index.js';
export * from './constants.js';
export * from './loading/index.js';
export * from './placement/index.js';
export * from './registry/index.js';
export * from './routing/index.js';
