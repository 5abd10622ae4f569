export type * from './admin-app-options.js';
export * from './admin-app.js';
export * from './api.js';
export * from './constants.js';
export * from './credential.js';
export * from './fleet-control.js';
export * from './review/index.js';
export * from './types.js';
export * from './validate-document.js';
