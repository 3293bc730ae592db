/**
 * The gateway daemon: sockets around the decisions of the package `dispatch`.
 */
export * from './lib/protocol.js';
export * from './lib/gateway.js';
export {listForwardedHeaders} from './lib/caller-exchange.js';
