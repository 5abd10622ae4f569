export * from './connection-observer.js';
export * from './method.js';
export * from './peer-client.js';
export * from './peer-identity.js';
export * from './peer-server.js';
export * from './peer-session.js';
export * from './silence-record.js';
