export * from './process-clock.js';
export * from './sim-cluster.js';
