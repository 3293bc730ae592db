/**
 * The gateway daemon: network servers and clients that execute the decisions of
 * the reducer in the `dispatch` package.
 */
export * from './lib/protocol.js';
export * from './lib/gateway.js';
export {listForwardedHeaders} from './lib/caller-exchange.js';
export {readResponse, responseFaultKind} from './lib/read-response.js';
export {startStrictRequest} from './lib/strict-request.js';
