/**
 * Steps of plays in which streams begin at one instance of a simulated fleet and are taken up at another.
 */
import assert from 'node:assert/strict';
import {resumableRoute as route} from './gateway-fixture.js';
import type {SimulatedFleet, SimulatedRequest} from './simulated-fleet.js';

const streamCount = 40;

export type FleetNode = SimulatedFleet['nodes'][number];
/** Streams that go on at another version, at theirs, or not at all. */
export type TakeUpCounts = {readonly joined: number; readonly goingOn: number; readonly refused: number};

/** Adds engines of a version and waits until running instances know them. */
export function startVersion(fleet: SimulatedFleet, version: string, engineCount: number, waitMs: number): void {
	fleet.softwareVersion = version;
	for (let count = 0; count < engineCount; count++) {
		fleet.addEngine();
	}

	fleet.advance(waitMs);
}

/** Begins streams at an instance and returns their versions by identifier. */
export function sendStreams(fleet: SimulatedFleet, node: FleetNode, prefix: string): Map<string, string> {
	const requests = Array.from({length: streamCount}, (_, index) => fleet.sendStream(node, route, {
		requestId: `${prefix}-${index}`, prompt: [`doc-${index}`],
	}));
	fleet.advance(350);
	const begun = requests.filter(({hasBegun}) => hasBegun);
	assert.ok(begun.length >= 0.75 * streamCount, `${begun.length} streams begin`);
	return new Map(begun.map(({requestId, versions}) => [requestId!, [...versions][0]!]));
}

/** Takes up streams at an instance that may be about to return from a pause, and waits until all are decided. */
export function takeUpStreams(fleet: SimulatedFleet, node: FleetNode, versions: ReadonlyMap<string, string>): TakeUpCounts {
	const requests = [...versions.keys()].map(id => fleet.sendStream(node, route, {
		requestId: `again-${id}`, resumesAfterEventId: '1', resumedRequestId: id, prompt: ['again'],
	}));
	fleet.advance(1800);
	const isAtVersion = ({versions: found}: SimulatedRequest, index: number) => found.has([...versions.values()][index]!);
	const begun = requests.filter(({hasBegun}) => hasBegun);
	const goingOn = requests.filter((request, index) => request.hasBegun && isAtVersion(request, index)).length;
	return {joined: begun.length - goingOn, goingOn, refused: requests.length - begun.length};
}
