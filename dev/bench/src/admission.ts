// The public interface of the callers package does not re-export the admission parts yet.
export * from '../../../packages/callers/src/admission-parts.js';
