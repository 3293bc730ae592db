/**
 * The decisions of a gateway: one reducer for all events, which returns effects
 * as data. Nothing in this package performs I/O.
 */
export * from './lib/requests/check-head.js';
export * from './lib/directory/directory.js';
export * from './lib/directory/directory-facts.js';
export type * from './lib/directory/directory-position.js';
export * from './lib/effect.js';
export * from './lib/event.js';
export * from './lib/evict-oldest.js';
export * from './lib/requests/failure.js';
export * from './lib/versions/past-versions.js';
export type * from './lib/members/peer-message.js';
export * from './lib/reducer.js';
export * from './lib/state.js';
export type * from './lib/streams/stream-message.js';
export type * from './lib/targets/load-message.js';
export type {TargetLoad, TargetReport, TargetStatement} from './lib/targets/target-statements.js';
export type {SelfInfo} from './lib/members/members.js';
export {targetSubjectPrefix} from './lib/targets/target-state.js';
export * from './lib/members/sync-timing.js';
export * from './lib/versions/version-history.js';
