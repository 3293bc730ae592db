/**
 * The router daemon, for programs that run it inside a test.
 */
export * from './lib/router.js';
export * from './lib/runner.js';
export * from './lib/peer-mapping.js';
