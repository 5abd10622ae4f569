export * from './peer-directory.js';
