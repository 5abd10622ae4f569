/** Options of every bundle of the daemon: one file with its libraries, since Node spends most of a start on finding, reading and linking modules one by one. */
export const bundleOptions = {
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
};
