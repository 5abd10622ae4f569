export {toErrorFinding} from './find-errors.js';
export * from './review-document.js';
export * from './types.js';
