export * from './address-claims.js';
export * from './choose-target.js';
export * from './constants.js';
export * from './cached-prompts.js';
export * from './target-table.js';
export * from './sequence-run.js';
export * from './target-registry.js';
export * from './types.js';
