import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {bundleOptions} from './bundle-options.js';

const folder = import.meta.dirname;

await build({
	...bundleOptions,
	entryPoints: [path.join(folder, 'dist/src/main.js')],
	outfile: process.argv[2] ?? path.join(folder, 'dist/egretrilld.mjs'),
});
