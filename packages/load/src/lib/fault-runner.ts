/**
 * Injects the faults of a plan into a fleet at their planned times. Each kind of
 * fault is a class; the instances are created when the traffic starts.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {serviceMode} from '@sequoiatally/stand-ins';
import type {Configuration} from '@sequoiatally/core';
import {
	FleetError, type Fleet, type FleetRouter, type FleetTarget,
} from './fleet.js';
import {faultKind, type PlannedFault} from './load-plan.js';
import {linkState} from './tcp-relay.js';

/** Pause between two steps of a rolling replacement. */
const replacementPauseMs = 500;

/** A fault as it appears in the report. */
export type InjectedFault = {
	readonly kind: PlannedFault['kind'];
	/** Short description of the fault. */
	readonly label: string;
	/** Start of the fault, in milliseconds from the start of the traffic. */
	readonly atMs: number;
	/** End of the fault, in milliseconds from the start of the traffic; `undefined` for faults without an end. */
	endMs?: number;
};

/** The fleet on which faults act, and how they publish a changed configuration. */
export type FaultContext = {
	readonly fleet: Fleet;
	/** Routers at the start of the traffic, to which the plan refers by index; includes those that have since been stopped. */
	readonly routers: readonly FleetRouter[];
	/** Publishes a changed configuration with the next version number. */
	readonly publishChange: (change: (configuration: Configuration) => Configuration) => Promise<void>;
};

abstract class Fault {
	abstract readonly label: string;

	/** Injects the fault; if the fault has an end, also reverts it at that time. */
	abstract run(context: FaultContext): Promise<void>;
}

type PlannedFaultOf<K extends PlannedFault['kind']> = Extract<PlannedFault, {kind: K}>;

class KillRouter extends Fault {
	readonly label;

	constructor(readonly fault: PlannedFaultOf<'kill-router'> | PlannedFaultOf<'replace-router'>) {
		super();
		this.label = `router ${fault.router} ${fault.kind === faultKind.killRouter ? 'killed' : 'killed and replaced'}`;
	}

	override async run({fleet, routers}: FaultContext): Promise<void> {
		const router = routers[this.fault.router]!;
		if (fleet.routers.includes(router)) {
			await fleet.killRouter(router);
		}

		if (this.fault.kind === faultKind.replaceRouter) {
			await fleet.waitUntilReady([await fleet.startRouter()]);
		}
	}
}

class ReplaceAllRouters extends Fault {
	override readonly label = 'rolling replacement';

	override async run({fleet}: FaultContext): Promise<void> {
		for (const router of fleet.routers) {
			const replacement = await fleet.startRouter();
			await fleet.waitUntilReady([replacement]);
			if (fleet.routers.includes(router)) {
				await fleet.drainRouter(router);
			}

			await wait(replacementPauseMs);
		}
	}
}

class FreezeRouter extends Fault {
	readonly label;

	constructor(readonly fault: PlannedFaultOf<'freeze-router'>) {
		super();
		this.label = `router ${fault.router} frozen`;
	}

	override async run({fleet, routers}: FaultContext): Promise<void> {
		const router = routers[this.fault.router]!;
		fleet.freezeRouter(router);
		await wait(this.fault.durationMs);
		fleet.resumeRouter(router);
	}
}

class CutRouter extends Fault {
	readonly label;

	constructor(readonly fault: PlannedFaultOf<'cut-router'>) {
		super();
		this.label = `router ${fault.router} cut off`;
	}

	override async run({fleet, routers}: FaultContext): Promise<void> {
		const router = routers[this.fault.router]!;
		fleet.setLinkState(router, linkState.cut);
		await wait(this.fault.durationMs);
		fleet.setLinkState(router, linkState.up);
	}
}

class RestartTarget extends Fault {
	readonly label;

	constructor(readonly fault: PlannedFaultOf<'restart-target'>) {
		super();
		this.label = `${fault.target} killed and restarted`;
	}

	override async run({fleet}: FaultContext): Promise<void> {
		const target = findTarget(fleet, this.fault.target);
		await fleet.killTarget(target);
		await wait(this.fault.durationMs);
		await fleet.restartTarget(target);
	}
}

class TurnTargetCold extends Fault {
	readonly label;

	constructor(readonly fault: PlannedFaultOf<'turn-target-cold'>) {
		super();
		this.label = `${fault.target} turned cold`;
	}

	override async run({fleet}: FaultContext): Promise<void> {
		await fleet.sendControlRequest(findTarget(fleet, this.fault.target).address, 'cold');
	}
}

class BreakTarget extends Fault {
	readonly label;

	constructor(readonly fault: PlannedFaultOf<'break-target'>) {
		super();
		this.label = `${fault.target} fails: ${fault.fault}`;
	}

	override async run({fleet}: FaultContext): Promise<void> {
		const {address} = findTarget(fleet, this.fault.target);
		await fleet.sendControlRequest(address, 'fault', {fault: this.fault.fault});
		await wait(this.fault.durationMs);
		await fleet.sendControlRequest(address, 'fault', {fault: 'none'});
	}
}

class DrainZone extends Fault {
	readonly label;

	constructor(readonly fault: PlannedFaultOf<'drain-zone'>) {
		super();
		this.label = `zone ${fault.zone} out`;
	}

	override async run({publishChange}: FaultContext): Promise<void> {
		const {zone, durationMs} = this.fault;
		await publishChange(configuration => ({...configuration, drainedZones: [...configuration.drainedZones, zone]}));
		await wait(durationMs);
		await publishChange(configuration => ({...configuration, drainedZones: configuration.drainedZones.filter(name => name !== zone)}));
	}
}

class ChangePlatform extends Fault {
	readonly label;

	constructor(readonly fault: PlannedFaultOf<'change-platform'>) {
		super();
		this.label = `configuration service ${fault.mode}`;
	}

	override async run({fleet}: FaultContext): Promise<void> {
		await fleet.sendControlRequest(fleet.platformAddress, 'mode', {mode: this.fault.mode});
		await wait(this.fault.durationMs);
		await fleet.sendControlRequest(fleet.platformAddress, 'mode', {mode: serviceMode.up});
	}
}

class WithdrawKey extends Fault {
	readonly label;

	constructor(readonly fault: PlannedFaultOf<'withdraw-key'>) {
		super();
		this.label = `key of ${fault.account} withdrawn`;
	}

	override async run({publishChange}: FaultContext): Promise<void> {
		await publishChange(configuration => ({
			...configuration,
			accounts: configuration.accounts.map(account => account.name === this.fault.account ? {...account, keyDigests: []} : account),
		}));
	}
}

function createFault(fault: PlannedFault): Fault {
	switch (fault.kind) {
		case faultKind.killRouter:
		case faultKind.replaceRouter: {
			return new KillRouter(fault);
		}

		case faultKind.replaceAllRouters: {
			return new ReplaceAllRouters();
		}

		case faultKind.freezeRouter: {
			return new FreezeRouter(fault);
		}

		case faultKind.cutRouter: {
			return new CutRouter(fault);
		}

		case faultKind.restartTarget: {
			return new RestartTarget(fault);
		}

		case faultKind.turnTargetCold: {
			return new TurnTargetCold(fault);
		}

		case faultKind.breakTarget: {
			return new BreakTarget(fault);
		}

		case faultKind.drainZone: {
			return new DrainZone(fault);
		}

		case faultKind.changePlatform: {
			return new ChangePlatform(fault);
		}

		case faultKind.withdrawKey: {
			return new WithdrawKey(fault);
		}
	}
}

/**
 * Injects each fault at its planned time after `startedAt`, a time on the clock
 * of `performance.now()`, and calls `onFault` at the start of each. Resolves when
 * all faults have ended. Throws `FleetError` if the fleet has no such target.
 */
export async function runFaults(
	faults: readonly PlannedFault[],
	context: FaultContext,
	startedAt: number,
	onFault: (fault: InjectedFault) => void,
): Promise<void> {
	await Promise.all(faults.map(async planned => {
		const fault = createFault(planned);
		await wait(Math.max(0, startedAt + planned.atMs - performance.now()));
		const injected: InjectedFault = {kind: planned.kind, label: fault.label, atMs: Math.round(performance.now() - startedAt)};
		onFault(injected);
		await fault.run(context);
		injected.endMs = 'durationMs' in planned || planned.kind === faultKind.replaceAllRouters
			? Math.round(performance.now() - startedAt)
			: undefined;
	}));
}

function findTarget(fleet: Fleet, id: string): FleetTarget {
	const found = fleet.targets.find(target => target.id === id);
	if (found === undefined) {
		throw new FleetError(`The fleet has no target "${id}".`);
	}

	return found;
}
