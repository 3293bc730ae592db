/**
 * The decisions of a gateway: one reducer for all events, which returns effects
 * as data. Nothing in this package performs I/O.
 */
export * from './lib/check-head.js';
export * from './lib/directory.js';
export * from './lib/directory-facts.js';
export type * from './lib/directory-position.js';
export * from './lib/effect.js';
export * from './lib/event.js';
export * from './lib/evict-oldest.js';
export * from './lib/failure.js';
export * from './lib/past-versions.js';
export type * from './lib/peer-message.js';
export * from './lib/reducer.js';
export * from './lib/state.js';
export type * from './lib/stream-message.js';
export type {TargetReport, TargetStatement} from './lib/target-statements.js';
export type {SelfInfo} from './lib/members.js';
export {targetSubjectPrefix} from './lib/target-state.js';
export * from './lib/sync-timing.js';
export * from './lib/version-history.js';
