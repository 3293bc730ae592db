/**
 * Shared code of scenarios, property tests and measurements.
 */
export * from './lib/exact-bucket.js';
export * from './lib/experiment.js';
export * from './lib/example-configuration.js';
export * from './lib/reducer-fleet.js';
export * from './lib/run-feature.js';
