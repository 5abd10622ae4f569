// The public interface of the callers package does not export FairQueue.
export * from '../../../packages/callers/src/admission-parts.js';
