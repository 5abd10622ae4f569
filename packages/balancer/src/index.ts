export * from './constants.js';
export * from './drain.js';
export * from './health-app.js';
export * from './metrics.js';
export * from './types.js';
