export * from './bucket-owner.js';
export * from './constants.js';
export * from './share-holder.js';
export * from './share-wire.js';
export * from './spend-audit.js';
export * from './types.js';
