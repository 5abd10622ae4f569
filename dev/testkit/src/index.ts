export * from './daemon-process.js';
export * from './exchange.js';
export * from './fleet.js';
export * from './link.js';
export * from './local-config.js';
export * from './ports.js';
export * from './wait.js';
