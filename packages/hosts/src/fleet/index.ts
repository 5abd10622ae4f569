export * from './consensus-methods.js';
export * from './fleet-log.js';
export * from './fleet-config-source.js';
export * from './withdrawals.js';
export * from './zone-leases.js';
