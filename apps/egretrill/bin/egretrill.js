#!/usr/bin/env node
// A bin file is linked by npm only if it exists at install time, which is before the build, so this file is not a build output.
await import('../dist/src/main.js');
