export * from './container.js';
export * from './daemon.js';
export * from './tokens.js';
