export * from './fair-queue.js';
export * from './limits/index.js';
export * from './poison-list.js';
export * from './retry-budget.js';
