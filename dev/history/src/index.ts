export * from './checks/index.js';
export * from './types.js';
