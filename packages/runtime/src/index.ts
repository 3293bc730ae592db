/**
 * Code shared by all processes: life cycle, settings, logs, clocks, the memory of
 * buffered bodies and the timeline.
 */
export * from './lib/body-collector.js';
export * from './lib/bounded-log.js';
export * from './lib/buffer-budget.js';
export * from './lib/clock.js';
export * from './lib/errors.js';
export * from './lib/event-queue.js';
export * from './lib/http-status.js';
export * from './lib/key-digest.js';
export * from './lib/lifecycle-manager.js';
export * from './lib/logger.js';
export * from './lib/settings.js';
export * from './lib/timeline.js';
export * from './lib/timeline-filter.js';
export * from './lib/transfer-coding.js';
