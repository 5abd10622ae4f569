export * from './control-peers.js';
export * from './peer-caller.js';
export * from './peer-directory.js';
