#!/usr/bin/env node
// npm links a bin file only if it exists at install time, which is before the build, so this file is not a build output.
await import('../dist/src/main.js');
