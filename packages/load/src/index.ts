/**
 * The load and experiment tool: fleets on loopback and callers that check
 * every answer.
 */
export * from './lib/caller.js';
export * from './lib/fleet.js';
export * from './lib/random.js';
