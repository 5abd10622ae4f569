/** Options of all bundles of the daemon: one file with all dependencies, since Node spends most of its startup on resolving, reading and linking separate modules. */
export const bundleOptions = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	// Identifiers are not minified, so that stack traces in logs stay readable.
	minifyWhitespace: true,
	minifySyntax: true,
	legalComments: 'none',
	logLevel: 'error',
	// Optional dependencies of bunyan that the daemon does not use.
	external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
	// Bundled CommonJS dependencies load Node's built-in modules with `require`.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\';\nconst require = createBundleRequire(import.meta.url);'},
};
