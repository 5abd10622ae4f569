export * from './consensus/index.js';
export * from './constants.js';
export * from './fleet/index.js';
export * from './fleet-state.js';
export {applyChange, getDocumentDigest, updateConfig} from './fleet-state-changes.js';
export * from './follow/index.js';
export * from './membership/index.js';
export * from './transport/index.js';
export * from './types.js';
