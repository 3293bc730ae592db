/**
 * Peers that can relay requests to targets for this instance while it has no path to them.
 * A peer counts for a pool if it reported recently that targets of the pool respond to it.
 */
import {isUsable} from '../targets/target-health.js';
import {createTarget, type Target} from '../targets/target-state.js';
import type {MemberEntry, SharedService} from '../members/peer-message.js';

/** Time after a peer was last served by a pool in which it counts as able to reach it, in milliseconds. */
const serviceMaxAgeMs = 3000;
/** Time without a report after which a peer is forgotten, in milliseconds. */
const retentionMs = 30_000;
/** Number of requests in flight at a peer in this zone for which one in another zone is preferred. */
const otherZonePenalty = 6;

type RelayPeer = {
	/** The peer in the form of a target: it has an address, requests in flight and a health. */
	readonly target: Target;
	readonly incarnation: string;
	/** Times at which targets last responded to the peer, by pool. */
	readonly servedAt: Map<string, number>;
	lastReportAt: number;
};

/** What the choice of a peer depends on. */
export type RelayRequest = {
	readonly pool: string;
	/** Time at which this instance first failed to reach the pool: a peer that was last served before may be cut off as well. */
	readonly since: number;
	/** Zone of this instance. */
	readonly zone: string;
	/** Peers and targets to which the request was already sent. */
	readonly triedIds: ReadonlySet<string>;
};

export class RelayPeers {
	readonly #byId = new Map<string, RelayPeer>();

	/** Applies the pools that have recently served a peer; ages are subtracted from `messageCreatedAt`. */
	applyServices({id, incarnation, address, zone}: MemberEntry, services: readonly SharedService[], messageCreatedAt: number, now: number): void {
		let peer = this.#byId.get(id);
		if (peer?.incarnation !== incarnation) {
			const record = {
				id, pool: '', address, zone, slots: 1, isLeaving: false, coldMs: 0, bornAt: now, softwareVersion: '',
			};
			peer = {
				target: createTarget(record, {pausedUntil: 0}, now), incarnation, servedAt: new Map(), lastReportAt: now,
			};
			this.#byId.set(id, peer);
		}

		peer.lastReportAt = now;
		const reported = new Set(services.map(({pool}) => pool));
		for (const pool of peer.servedAt.keys()) {
			// The peer no longer reaches the pool, or nobody has asked it for a while.
			if (!reported.has(pool)) {
				peer.servedAt.delete(pool);
			}
		}

		for (const {pool, ageMs} of services) {
			peer.servedAt.set(pool, Math.max(peer.servedAt.get(pool) ?? Number.NEGATIVE_INFINITY, messageCreatedAt - ageMs));
		}
	}

	/** Records that a peer relayed the response of a target of the pool, or that it did not; then it counts again after its next report. */
	recordRelayed(target: Target, pool: string, wasServed: boolean, now: number): void {
		const peer = this.#byId.get(target.record.id);
		if (peer?.target !== target) {
			return;
		}

		if (wasServed) {
			peer.servedAt.set(pool, now);
		} else {
			peer.servedAt.delete(pool);
		}
	}

	/** Finds the latest time at which the pool served a peer. */
	findServedAt(pool: string): number {
		let latest = Number.NEGATIVE_INFINITY;
		for (const {servedAt} of this.#byId.values()) {
			latest = Math.max(latest, servedAt.get(pool) ?? Number.NEGATIVE_INFINITY);
		}

		return latest;
	}

	/** Chooses the peer that relays a request, of those that the pool has served after `since`: the one with fewest requests of this instance, rather in this zone and not ejected. */
	choose({pool, since, zone, triedIds}: RelayRequest, now: number): Target | undefined {
		const candidates: Target[] = [];
		for (const {target, servedAt} of this.#byId.values()) {
			const lastServedAt = servedAt.get(pool) ?? Number.NEGATIVE_INFINITY;
			if (now - lastServedAt <= serviceMaxAgeMs && lastServedAt > since && !triedIds.has(target.record.id)) {
				candidates.push(target);
			}
		}

		// An ejected peer is still better than a path that is lost.
		const usable = candidates.filter(({health}) => isUsable(health, now));
		const computeCost = ({inFlight, record}: Target) => inFlight + (record.zone === zone ? 0 : otherZonePenalty);
		let best: Target | undefined;
		for (const target of usable.length > 0 ? usable : candidates) {
			if (best === undefined || computeCost(target) < computeCost(best)) {
				best = target;
			}
		}

		return best;
	}

	/** Forgets peers that have not reported for a time. */
	expire(now: number): void {
		for (const [id, {target, lastReportAt}] of this.#byId) {
			if (now - lastReportAt > retentionMs && target.inFlight === 0) {
				this.#byId.delete(id);
			}
		}
	}
}
