export * from './constants.js';
export * from './follow/index.js';
export * from './transport/index.js';
