/**
 * Plays client accounts that share a contended pool at a fleet of gateways in virtual time.
 */
import {createRoute, createTables, type GatewayFixture} from './gateway-fixture.js';
import {SimulatedFleet, type SimulatedRequest} from './simulated-fleet.js';
import {routeKind} from '../index.js';

const route = createRoute({
	name: 'look-up', prefix: '/look-up/', kind: routeKind.once, timeLimitMs: 1500, latencyTargetMs: 600, splits: [{pool: 'desk', weight: 1}], hasPrompts: false,
});
/** Usual demand of the accounts as parts of the whole: three large ones, 19 small ones and two of 6%, as in the build farm. */
const usualWeights = [6, 5, 4, ...Array.from({length: 19}, (_, index) => 0.6 + (0.05 * index)), 2.4, 2.4];
const totalWeight = usualWeights.reduce((sum, weight) => sum + weight, 0);
const runMs = {min: 150, extra: 200};
/** Mean time for which a request takes a slot, with the steps of the simulation. */
const slotMs = 300;
/** Time after which the demand of the hot accounts rises, in milliseconds. */
export const settlingMs = 5000;
const playMs = 11_500;
/** Time from the rise of the demand until the exchange has spread it, in milliseconds. */
const onsetMs = 4500;

export type SharedPoolPlay = {
	readonly gatewayCount: number;
	readonly engineCount: number;
	readonly slots: number;
	readonly seed: number;
	/** Usual demand as a multiple of the capacity. */
	readonly usualLoad: number;
	/** Accounts, by index, that ask for several times their usual demand. */
	readonly hotAccounts?: ReadonlyMap<number, number>;
	/** Changes what an instance does, also after its restart. */
	readonly prepare?: (gateway: GatewayFixture) => void;
	readonly onStep?: (fleet: SimulatedFleet, sinceMs: number) => void;
	/** True if callers send what is refused again at once, a few times. */
	readonly repeatsAtOnce?: boolean;
};

export type SharedPoolResult = {
	/** Fraction of the requests of each account that were served in time after the onset. */
	readonly servedByAccount: readonly number[];
	/** Served requests of each account in each second. */
	readonly servedRateByAccount: readonly number[];
	/** Served requests in each second as a fraction of the capacity. */
	readonly usedFraction: number;
	readonly limitedCount: number;
	readonly requests: ReadonlyArray<{readonly account: number; readonly request: SimulatedRequest}>;
};

/** Plays the usual demand, and after a while that of the hot accounts. */
export function runSharedPool({
	gatewayCount, engineCount, slots, seed, usualLoad, hotAccounts = new Map(), prepare, onStep, repeatsAtOnce = false,
}: SharedPoolPlay): SharedPoolResult {
	const accounts = usualWeights.map((_, index) => ({name: `account-${index}`, keyDigests: [`digest-${index}`]}));
	const fleet = new SimulatedFleet({
		gatewayCount, engineCount, seed, engineName: 'desk', engineRoom: {slots, runMs}, tables: createTables(1, {routes: [route], accounts}),
	});
	const capacityPerS = engineCount * slots * 1000 / slotMs;
	const prepared = new WeakSet<GatewayFixture>();
	const sent: Array<{account: number; request: SimulatedRequest}> = [];
	/** Requests of hot accounts that are sent again if they are refused, and the times until which they are. */
	let repeatable: Array<{account: number; request: SimulatedRequest; until: number}> = [];
	const send = (account: number) => {
		const running = fleet.listRunning();
		const node = running[Math.floor(fleet.random() * running.length)]!;
		const request = fleet.sendStream(node, route, {keyDigest: `digest-${account}`, fingerprint: `${account}-${sent.length}`});
		sent.push({account, request});
		if (repeatsAtOnce && hotAccounts.has(account)) {
			repeatable.push({account, request, until: fleet.now + route.timeLimitMs});
		}
	};

	const startedAt = fleet.now;
	fleet.advance(settlingMs + playMs, () => {
		for (const {gateway} of fleet.nodes) {
			gateway.setFairShares();
			if (!prepared.has(gateway)) {
				prepared.add(gateway);
				prepare?.(gateway);
			}
		}

		const sinceMs = fleet.now - startedAt;
		onStep?.(fleet, sinceMs);
		for (const [account, weight] of usualWeights.entries()) {
			const multiple = sinceMs < settlingMs ? 1 : hotAccounts.get(account) ?? 1;
			// Callers that have nothing to do with each other: the number in one step is drawn from its mean.
			for (let count = fleet.drawCount(capacityPerS * usualLoad * multiple * weight / totalWeight); count > 0; count--) {
				send(account);
			}
		}

		repeatable = repeatable.filter(({until, request}) => fleet.now < until && !request.hasBegun);
		for (const item of repeatable.filter(({request}) => request.refusalStatus === 503)) {
			const node = fleet.nodes.find(({address}) => address === item.request.receiver)!;
			item.request = fleet.sendStream(node, route, {keyDigest: `digest-${item.account}`, fingerprint: item.request.fingerprint});
			sent.push({account: item.account, request: item.request});
		}
	});
	const from = startedAt + settlingMs + onsetMs;
	const until = fleet.now - route.timeLimitMs;
	const counted = sent.filter(({request: {at}}) => at >= from && at < until);
	const isServed = ({hasBegun, refusedAt}: SimulatedRequest) => hasBegun && refusedAt === undefined;
	const served = usualWeights.map((_, account) => counted.filter(item => item.account === account && isServed(item.request)).length);
	const asked = usualWeights.map((_, account) => counted.filter(item => item.account === account).length);
	const seconds = (until - from) / 1000;
	return {
		servedByAccount: served.map((count, account) => count / Math.max(1, asked[account]!)),
		servedRateByAccount: served.map(count => count / seconds),
		usedFraction: served.reduce((sum, count) => sum + count, 0) / seconds / capacityPerS,
		limitedCount: sent.filter(({request}) => request.refusalReason === 'account-share').length,
		requests: counted,
	};
}

/** Computes the fraction of all requests of the given accounts that were served. */
export function computeServedFraction({requests}: SharedPoolResult, isCounted: (account: number) => boolean): number {
	const counted = requests.filter(({account}) => isCounted(account));
	return counted.filter(({request}) => request.hasBegun && request.refusedAt === undefined).length / Math.max(1, counted.length);
}

/** The accounts that are hot in the plays. */
export const hotAccounts = {one: new Map([[23, 7]]), two: new Map([[22, 7], [23, 7]])};

/** Accounts that are larger than the others by right. */
export const largeAccounts: ReadonlySet<number> = new Set([0, 1, 2]);
