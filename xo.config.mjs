/**
 * XO's rules, and the few places where the house style differs from them; each
 * is explained in docs/STYLE.md.
 */
const config = [
	{
		ignores: ['packages/*/build/**', 'platform/build/**', 'target/**', 'journal/**', 'packages/peer/src/gen/**', 'results/**'],
	},
	{
		rules: {
			// The brief asks for the language's customary short names.
			'unicorn/prevent-abbreviations': 'off',
			// Modules are named in kebab case, tests with the suffix `_test`.
			'unicorn/filename-case': ['error', {case: 'kebabCase', ignore: [/_test\.ts$/]}],
			// The order of imports follows the package they come from; no further order is kept.
			'import-x/order': 'off',
			// Loops that wait do so on purpose: each step follows the one before it.
			'no-await-in-loop': 'off',
			// `Ok` and `Err` of the results library are functions by design.
			'new-cap': ['error', {capIsNewExceptions: ['Ok', 'Err']}],
			// A warning never fails a build, so each rule is an error or off.
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
			// The program ends by its own decision, with a code that says why.
			'unicorn/no-process-exit': 'off',
			// The bundler is a tool of the workspace's root.
			'n/no-extraneous-import': 'off',
			'import-x/no-extraneous-dependencies': 'off',
		},
	},
	{
		files: ['packages/*/src/test/**', 'platform/src/test/**'],
		rules: {
			// The runner itself waits for each test.
			'@typescript-eslint/no-floating-promises': ['error', {
				allowForKnownSafeCalls: [{from: 'package', name: ['test', 'describe', 'it', 'suite'], package: 'node:test'}],
			}],
		},
	},
];

export default config;
