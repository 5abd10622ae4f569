export * from './cli.js';
export * from './command.js';
export * from './constants.js';
export * from './container.js';
export * from './output.js';
export * from './tokens.js';
export * from './types.js';
