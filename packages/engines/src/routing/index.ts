export * from './baseline-routing.js';
export * from './constants.js';
export * from './cost-routing.js';
export * from './prefix-belief.js';
export * from './prompt-blocks.js';
export * from './routing-policy.js';
export * from './target-directory.js';
export * from './types.js';
