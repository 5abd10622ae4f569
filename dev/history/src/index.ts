export * from './checks/index.js';
export * from './recorder/record-history.js';
export * from './report.js';
export * from './types.js';
