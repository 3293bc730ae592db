/**
 * Messages between instances about streams that callers may take up.
 */
import type {SharedStream} from './begun-streams.js';
import type {MemberEntry} from '../members/peer-message.js';

export type StreamMessage = {
	readonly from: Pick<MemberEntry, 'id' | 'incarnation'>;
	/** Streams whose software version the receiver should remember, or has asked for. */
	readonly streams: readonly SharedStream[];
	/** Keys of streams whose version the sender asks for; empty in responses. */
	readonly askedKeys: readonly string[];
};
