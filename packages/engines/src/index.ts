export * from './client/index.js';
export * from './constants.js';
export * from './routing/index.js';
