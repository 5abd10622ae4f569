export * from './errors.js';
export * from './file-log-storage.js';
export * from './file-system.js';
export * from './log-storage.js';
export * from './memory-file-system.js';
export * from './memory-log-storage.js';
export * from './snapshot-store.js';
export * from './types.js';
