/**
 * Divides the descriptors and the memory that the platform grants a process among its servers. What is left of the
 * descriptors serves the connections to targets, peers and the platform's store.
 */
import type {ServerLimits} from './limited-server.js';

/** Descriptors for files, libraries and standard streams. */
const fileDescriptors = 200;
/** Shares of the other descriptors; a request of a caller takes a second one for its target. */
const callerShare = 0.36;
const peerShare = 0.15;
/** Connections to the addresses for readiness and metrics, which have few clients. */
const statusShare = 0.04;
const maxStatusConnections = 32;
/** Connections that each server may hold even if there are very few descriptors. */
const minConnections = 16;
/** Share of the memory for bytes that callers have sent ahead of their turn; that of the other servers together is not larger. */
const readAheadShare = 0.04;
const otherReadAheadShare = 0.01;
/** Size of the bytes sent ahead from which a connection is not read any further: the size of one read. */
const maxReadAheadBytesPerConnection = 64 * 1024;

export type ServerShares = {
	readonly callers: ServerLimits;
	readonly peers: ServerLimits;
	/** Each of the servers for readiness and metrics. */
	readonly status: ServerLimits;
};

export function computeServerShares(maxDescriptors: number, memoryBytes: number): ServerShares {
	const connections = Math.max(0, maxDescriptors - fileDescriptors);
	const statusConnections = Math.max(minConnections, Math.min(maxStatusConnections, Math.floor(connections * statusShare)));
	const bytesPerConnection = maxReadAheadBytesPerConnection;
	const otherBytes = memoryBytes * otherReadAheadShare;
	return {
		callers: {connections: Math.max(minConnections, Math.floor(connections * callerShare)), bytesPerConnection, bytes: memoryBytes * readAheadShare},
		peers: {connections: Math.max(minConnections, Math.floor(connections * peerShare)), bytesPerConnection, bytes: otherBytes},
		status: {connections: statusConnections, bytesPerConnection, bytes: otherBytes},
	};
}
