/**
 * The load and experiment tool: fleets on loopback and callers that check
 * every answer.
 */
export * from './lib/call-schedule.js';
export * from './lib/caller.js';
export * from './lib/exact-bucket.js';
export * from './lib/fleet.js';
export * from './lib/load-plan.js';
export * from './lib/random.js';
export * from './lib/tcp-relay.js';
