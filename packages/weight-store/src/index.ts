export * from './constants.js';
export * from './load-budget.js';
export * from './types.js';
