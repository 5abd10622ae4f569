export * from './announce.js';
export * from './engine-state.js';
export * from './engine.js';
export * from './monotonic.js';
export * from './service.js';
export * from './target.js';
export * from './types.js';
export * from './weight-store.js';
