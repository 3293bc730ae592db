/**
 * Small stand-ins for what lies outside of the system.
 */
export * from './lib/configuration-service.js';
export * from './lib/engine.js';
export * from './lib/plain-service.js';
export * from './lib/serve.js';
