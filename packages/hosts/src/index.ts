export * from './consensus/index.js';
export * from './constants.js';
export * from './fleet/index.js';
export * from './fleet-state.js';
export {applyChange, getDocumentDigest, applyConfigUpdate as updateConfig} from './fleet-state-changes.js';
export * from './follow/index.js';
export * from './membership/index.js';
export * from './transport/index.js';
export * from './types.js';
