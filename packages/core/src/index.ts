/**
 * The decision logic of sequoiatally: one reducer for all events, with effects
 * as data. Nothing in this package does input or output.
 */
export * from './lib/configuration/configuration.js';
export * from './lib/configuration/check-configuration.js';
export * from './lib/configuration/configuration-schema.js';
export * from './lib/configuration/instance-list.js';
export * from './lib/effect.js';
export * from './lib/event.js';
export * from './lib/hash.js';
export * from './lib/message.js';
export * from './lib/refusal.js';
export * from './lib/requests/reduce-tickets.js';
export * from './lib/requests/ticket.js';
export * from './lib/reducer.js';
export * from './lib/state.js';
export * from './lib/timeline-entry.js';
export * from './lib/membership/describe-summary.js';
export * from './lib/targets/target-choice.js';
export type {Target} from './lib/targets/target-state.js';
export type {TokenBucket} from './lib/allowance/token-bucket.js';
export type {PendingRequest} from './lib/requests/request-state.js';
export * from './lib/describe/describe-accounts.js';
export * from './lib/describe/describe-instances.js';
export * from './lib/describe/describe-targets.js';
export * from './lib/describe/explain-choice.js';
export * from './lib/describe/list-alarms.js';
export {formatAccountLimitId} from './lib/allowance/limit.js';
export {computeNetShare, type Share} from './lib/allowance/share-ledger.js';
