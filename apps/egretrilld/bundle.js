import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const folder = import.meta.dirname;
const outfile = process.argv[2] ?? path.join(folder, 'dist/egretrilld.mjs');

// One file for the daemon and its libraries: Node spends most of a start on finding, reading and linking their modules one by one.
await build({
	entryPoints: [path.join(folder, 'dist/src/main.js')],
	outfile,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	// Names stay whole, since stack traces are read in logs.
	minifyWhitespace: true,
	minifySyntax: true,
	legalComments: 'none',
	logLevel: 'error',
	// Optional parts of bunyan that the daemon does not use.
	external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
	// Libraries in the CommonJS format load the modules of Node with require.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\';\nconst require = createBundleRequire(import.meta.url);'},
});
