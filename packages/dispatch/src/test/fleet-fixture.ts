/**
 * A fleet of gateways that call each other, under a clock that the tests advance.
 */
import {effectKind, eventKind, type CallPeerEffect} from '../index.js';
import {GatewayFixture} from './gateway-fixture.js';

const zones = ['zone-a', 'zone-b', 'zone-c'];

/** Returns the pending calls of a gateway to its peers and clears its effects. */
export function takePeerCalls(gateway: GatewayFixture): CallPeerEffect[] {
	const calls = gateway.effects.filter(effect => effect.kind === effectKind.callPeer);
	gateway.effects = [];
	return calls;
}

/** Delivers the pending calls between gateways and their responses, `rounds` times. Calls to unknown addresses fail. */
export function exchangePeerMessages(gateways: ReadonlyMap<string, GatewayFixture>, rounds: number): void {
	for (let round = 0; round < rounds; round++) {
		for (const caller of gateways.values()) {
			for (const {address, message} of takePeerCalls(caller)) {
				const callee = gateways.get(address);
				if (callee === undefined) {
					caller.handle({kind: eventKind.peerFailed, address, detail: 'gone'});
					continue;
				}

				callee.handle({kind: eventKind.peerCalled, callId: 1, message});
				const answer = callee.effects.find(effect => effect.kind === effectKind.answerPeer);
				callee.effects = callee.effects.filter(effect => effect !== answer);
				caller.handle({
					kind: eventKind.peerAnswered, address, message: answer!.message, requestedAt: caller.now,
				});
			}
		}
	}
}

/** Creates gateways in three zones with a common seed address; the keys are their peer addresses. */
export function createFleet(size: number, changeLimitMs?: number): Map<string, GatewayFixture> {
	const fleet = new Map<string, GatewayFixture>();
	for (let index = 0; index < size; index++) {
		const gateway = new GatewayFixture(`gateway-${index}`, zones[index % zones.length], index + 1, changeLimitMs);
		gateway.handle({kind: eventKind.settingsChanged, seedAddresses: ['gateway-0:1']});
		fleet.set(`gateway-${index}:1`, gateway);
	}

	return fleet;
}

/** Advances all gateways in steps of 100 ms, with one round of peer calls after each step. */
export function advanceFleet(fleet: ReadonlyMap<string, GatewayFixture>, durationMs: number): void {
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
		for (const gateway of fleet.values()) {
			gateway.advance(100);
		}

		exchangePeerMessages(fleet, 1);
	}
}
