// The certificate library of the TLS tests requires this polyfill before it is loaded.
require('reflect-metadata');
const chai = require('chai');
const {jestSnapshotPlugin} = require('mocha-chai-jest-snapshot');

// With CI set in the environment a missing snapshot fails instead of being written.
chai.use(jestSnapshotPlugin());
