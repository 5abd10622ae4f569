export * from './client/index.js';
export * from './constants.js';
