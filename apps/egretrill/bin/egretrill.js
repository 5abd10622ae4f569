#!/usr/bin/env node
// The file of a command must exist when npm installs, which is before the build, or npm links nothing.
await import('../dist/src/main.js');
