export * from './container.js';
export * from './daemon.js';
export * from './hosts/peer-credentials.js';
export * from './run-daemon.js';
export * from './tokens.js';
