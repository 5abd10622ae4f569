export * from './chunk-reader.js';
export * from './connection-watch.js';
export * from './engine-client.js';
export * from './forward-client.js';
export * from './stream-watchdog.js';
export * from './target-app.js';
