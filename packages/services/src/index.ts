export * from './service-client.js';
