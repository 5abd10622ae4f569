const allowedShortNames = [
	'req',
	'res',
	'cfg',
	'err',
	'ctx',
	'opts',
	'fn',
	'Req',
	'Res',
	'Cfg',
	'Err',
	'Ctx',
	'Opts',
	'Fn',
	'ms',
	'Ms',
	'dir',
	'Dir',
	'args',
	'Args',
	'dev',
	'i',
	'env',
	'params',
	'src',
];

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', '**/*.snap', 'docs/**']},
	{
		rules: {
			// The house style keeps these customary short names.
			'unicorn/prevent-abbreviations': ['error', {allowList: Object.fromEntries(allowedShortNames.map(name => [name, true])), checkFilenames: false}],
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// One task per connection or peer awaits each step in turn, so awaiting inside a loop is the agreed shape.
			'no-await-in-loop': 'off',
			// Wire and configuration formats fix some property names.
			camelcase: 'off',
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
		},
	},
	{
		// Rules that need types; scripts in plain JavaScript belong to no TypeScript project.
		files: ['**/*.ts'],
		rules: {
			// A default branch may stand for the remaining cases of a library's enumeration.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// A schema and the type inferred from it share one name.
			'@typescript-eslint/no-redeclare': 'off',
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// Test tools are development dependencies of the workspace root.
		files: ['**/tests/**/*.ts', 'dev/**/*.{ts,cjs}'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			'import-x/no-unassigned-import': 'off',
		},
	},
	{
		files: ['**/tests/**/*.ts'],
		rules: {
			// The assertions of the test library are expressions.
			'@typescript-eslint/no-unused-expressions': 'off',
		},
	},
];

export default config;
