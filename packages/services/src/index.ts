export * from './replicated-ledger.js';
export * from './service-client.js';
