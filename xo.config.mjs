/**
 * Configuration of the XO linter. docs/STYLE.md explains each deviation from XO's
 * default rules.
 */
const config = [
	{
		ignores: ['packages/*/build/**', 'platform/build/**', 'target/**', 'journal/**', 'packages/peer/src/gen/**', 'results/**'],
	},
	{
		rules: {
			// Short names that are customary in the language are allowed.
			'unicorn/prevent-abbreviations': 'off',
			// Modules are named in kebab case; test files have the suffix `_test`.
			'unicorn/filename-case': ['error', {case: 'kebabCase', ignore: [/_test\.ts$/]}],
			// Imports are grouped by the package that they come from, without further order.
			'import-x/order': 'off',
			// Loops await where each iteration depends on the previous one.
			'no-await-in-loop': 'off',
			// `Ok` and `Err` of the result library are called without `new` by design.
			'new-cap': ['error', {capIsNewExceptions: ['Ok', 'Err']}],
			// Warnings do not fail a build, so each rule is either an error or off.
			'@stylistic/max-len': ['error', {
				code: 160, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreUrls: true, ignoreComments: true,
			}],
			'max-params': ['error', 5],
			'no-warning-comments': 'error',
		},
	},
	{
		files: ['platform/src/main.ts', 'platform/src/lib/build-bundle.ts'],
		rules: {
			// The program exits explicitly, with a code that states the reason.
			'unicorn/no-process-exit': 'off',
			// The bundler is a development dependency that only the build uses.
			'n/no-extraneous-import': 'off',
			'import-x/no-extraneous-dependencies': 'off',
		},
	},
	{
		files: ['packages/*/src/test/**', 'platform/src/test/**'],
		rules: {
			// The test runner awaits each test itself.
			'@typescript-eslint/no-floating-promises': ['error', {
				allowForKnownSafeCalls: [{from: 'package', name: ['test', 'describe', 'it', 'suite'], package: 'node:test'}],
			}],
		},
	},
];

export default config;
