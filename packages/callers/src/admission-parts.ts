export * from './limits/index.js';
