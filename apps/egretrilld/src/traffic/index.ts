export * from './adapter.js';
export * from './config-decoder.js';
export * from './control-host.js';
export * from './control-service.js';
export * from './entry-host.js';
export * from './membership.js';
export * from './run-traffic.js';
export * from './settings.js';
