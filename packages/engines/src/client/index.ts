export * from './chunk-reader.js';
export * from './connection-monitor.js';
export * from './engine-client.js';
export * from './forward-client.js';
export * from './probe.js';
export * from './stream-watchdog.js';
export * from './target-app.js';
