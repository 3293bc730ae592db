/**
 * Stand-ins for the services outside of the system, for tests and measurements.
 */
export * from './lib/configuration-service.js';
export * from './lib/engine.js';
export * from './lib/plain-service.js';
export * from './lib/serve.js';
