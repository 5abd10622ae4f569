export * from './choose-target.js';
export * from './constants.js';
export * from './kept-prompts.js';
export * from './target-book.js';
export * from './target-registry.js';
export * from './types.js';
