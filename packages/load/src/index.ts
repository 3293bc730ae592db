/**
 * The load and experiment tool: starts fleets on loopback, sends load to them
 * and checks every answer.
 */
export * from './lib/answer-record.js';
export * from './lib/call-schedule.js';
export * from './lib/caller.js';
export * from './lib/exact-bucket.js';
export * from './lib/fleet.js';
export * from './lib/latency.js';
export * from './lib/load-plan.js';
export * from './lib/local-ports.js';
export * from './lib/load-run.js';
export * from './lib/merge-timeline.js';
export * from './lib/random.js';
export * from './lib/report-page.js';
export * from './lib/result-rows.js';
export * from './lib/run-result.js';
export * from './lib/tcp-relay.js';
export * from './lib/process-usage.js';
export * from './lib/caller-timelines.js';
export * from './lib/wait-until.js';
