export * from './demand-counter.js';
export * from './engine-line.js';
export * from './engine-orders.js';
export * from './engine-owner.js';
export * from './plan-loads.js';
export * from './types.js';
