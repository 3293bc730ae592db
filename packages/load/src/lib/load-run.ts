/**
 * A run of a load plan: starts the deployment, sends the scheduled requests at
 * their intended times, injects the faults and records how each request ended.
 */
import {mkdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {parseConfiguration, type Configuration} from '@sequoiatally/core';
import {err, ok, type Result} from 'neverthrow';
import {
	toRecordOutcome, recordOutcome, type AnswerRecord, type LoadSeries, type RecordOutcome, type TargetReport,
} from './answer-record.js';
import {
	callKind, createCallSchedule, type AccountLimit, type CallSchedule, type PlannedCall,
} from './call-schedule.js';
import {Caller, type Answer} from './caller.js';
import {CallerTimelines} from './caller-timelines.js';
import {runFaults, type FaultContext, type InjectedFault} from './fault-runner.js';
import {Fleet, type FleetRouter} from './fleet.js';
import {faultKind, type LoadPlan} from './load-plan.js';
import {TargetObserver} from './target-observer.js';

/** Time that a run waits for outstanding answers after the last request and fault. */
const finalAnswerTimeoutMs = 30_000;
const progressIntervalMs = 2000;

/** Error that prevents a run from starting. */
export type RunError = {readonly kind: 'bad-configuration'; readonly path: string; readonly message: string};

/** Everything recorded during a run. */
export type RunRecord = {
	readonly plan: LoadPlan;
	readonly accounts: readonly AccountLimit[];
	readonly records: readonly AnswerRecord[];
	readonly omittedCount: number;
	readonly faults: readonly InjectedFault[];
	readonly targets: readonly TargetReport[];
	readonly loads: LoadSeries;
};

export type RunProgress = {
	readonly elapsedMs: number;
	readonly sentCount: number;
	readonly openCount: number;
	readonly counts: Readonly<Record<RecordOutcome, number>>;
	/** Fault that has just started; `undefined` in periodic reports. */
	readonly fault?: InjectedFault;
};

export type RunOptions = {
	/** Directory of the plan; the path of its configuration is relative to it. */
	readonly planDirectory: string;
	readonly resultDirectory: string;
	readonly onProgress?: (progress: RunProgress) => void;
};

/** Runs a plan and stops all processes that it started. Fails if the configuration is invalid. */
export async function runLoad(plan: LoadPlan, options: RunOptions): Promise<Result<RunRecord, RunError>> {
	const configurationPath = path.resolve(options.planDirectory, plan.deployment.configuration);
	const configurationText = await readFile(configurationPath, 'utf8');
	const configuration = parseConfiguration(configurationText);
	if (configuration.isErr()) {
		return err({kind: 'bad-configuration', path: configurationPath, message: configuration.error.map(({place, message}) => `${place}: ${message}`).join('; ')});
	}

	await mkdir(options.resultDirectory, {recursive: true});
	const loadRun = new LoadRun(plan, configuration.value, configurationText, options);
	return ok(await loadRun.run());
}

class LoadRun {
	readonly #plan: LoadPlan;
	readonly #options: RunOptions;
	readonly #fleet: Fleet;
	readonly #accounts: readonly AccountLimit[];
	readonly #schedule: CallSchedule;
	readonly #records: AnswerRecord[] = [];
	readonly #faults: InjectedFault[] = [];
	readonly #counts: Record<RecordOutcome, number> = {
		whole: 0, refused: 0, lost: 0, wrong: 0, unanswered: 0, unsent: 0,
	};

	readonly #timelines: CallerTimelines;
	readonly #callers = new Map<string, Caller>();
	readonly #openCalls = new Set<Promise<void>>();
	#configuration: Configuration;
	#startedAt = 0;
	#sentCount = 0;
	#hasTimedOut = false;

	constructor(plan: LoadPlan, configuration: Configuration, configurationText: string, options: RunOptions) {
		this.#plan = plan;
		this.#options = options;
		this.#timelines = new CallerTimelines(options.resultDirectory);
		this.#configuration = configuration;
		const keyedAccounts = configuration.accounts.filter(({keyDigests}) => keyDigests.length > 0);
		const openAccountName = configuration.routes.find(({open}) => open)?.openAccount;
		const openAccount = plan.traffic.openRate > 0 ? configuration.accounts.find(({name}) => name === openAccountName) : undefined;
		this.#accounts = openAccount === undefined ? keyedAccounts : [...keyedAccounts, openAccount];
		this.#schedule = createCallSchedule(plan, keyedAccounts, openAccount);
		this.#fleet = new Fleet({
			...plan.deployment,
			configurationText,
			timelineDirectory: options.resultDirectory,
			logPath: path.join(options.resultDirectory, 'processes.log'),
			usesRelays: plan.faults.some(({kind}) => kind === faultKind.cutRouter),
		});
	}

	async run(): Promise<RunRecord> {
		try {
			await this.#fleet.start();
			await wait(this.#plan.settleMs);
			return await this.#runTraffic();
		} finally {
			await Promise.all([...this.#callers.values()].map(async caller => caller.destroy()));
			await this.#fleet.stop();
			await this.#timelines.close();
		}
	}

	async #runTraffic(): Promise<RunRecord> {
		const observer = new TargetObserver(this.#fleet);
		observer.start();
		const progressTimer = setInterval(() => {
			this.#reportProgress();
		}, progressIntervalMs);
		this.#startedAt = performance.now();
		try {
			await Promise.all([this.#sendCalls(), this.#runFaults()]);
			await this.#waitForFinalAnswers();
		} finally {
			clearInterval(progressTimer);
		}

		return {
			plan: this.#plan,
			accounts: this.#accounts,
			records: this.#records,
			omittedCount: this.#schedule.omittedCount,
			faults: this.#faults,
			targets: await observer.stop(),
			loads: observer.loads,
		};
	}

	async #runFaults(): Promise<void> {
		const {faults} = this.#plan;
		const context: FaultContext = {
			fleet: this.#fleet, routers: [...this.#fleet.routers], publishChange: async change => this.#publishChange(change),
		};
		await runFaults(faults, context, this.#startedAt, fault => {
			this.#faults.push(fault);
			this.#reportProgress(fault);
		});
	}

	async #publishChange(change: (configuration: Configuration) => Configuration): Promise<void> {
		this.#configuration = {...change(this.#configuration), version: this.#configuration.version + 1};
		await this.#fleet.publishConfiguration(JSON.stringify(this.#configuration));
	}

	async #sendCalls(): Promise<void> {
		for (const call of this.#schedule.calls) {
			const delayMs = this.#startedAt + call.atMs - performance.now();
			if (delayMs > 0) {
				await wait(delayMs);
			}

			this.#startCall(call);
		}
	}

	#startCall(call: PlannedCall): void {
		const router = this.#chooseRouter(call.entry);
		if (router === undefined || this.#openCalls.size >= this.#plan.openLimit) {
			this.#record({
				call, routerId: router?.id ?? '', outcome: recordOutcome.unsent, endMs: this.#computeElapsedMs(),
			});
			return;
		}

		this.#sentCount++;
		const pendingCall = this.#runCall(call, router);
		this.#openCalls.add(pendingCall);
		void this.#removeWhenSettled(pendingCall);
	}

	/** Chooses among the available routers like a load balancer with sticky sessions: equal entries lead to the same router while the routers stay the same. */
	#chooseRouter(entry: number): FleetRouter | undefined {
		const {availableRouters} = this.#fleet;
		return availableRouters[Math.floor(entry * availableRouters.length)];
	}

	async #removeWhenSettled(pendingCall: Promise<void>): Promise<void> {
		await pendingCall;
		this.#openCalls.delete(pendingCall);
	}

	async #runCall(call: PlannedCall, router: FleetRouter): Promise<void> {
		const idempotencyKey = call.kind === callKind.booking ? await this.#fetchTicket(call, router) : undefined;
		const answer = await this.#call(call, router, idempotencyKey);
		const outcome = this.#hasTimedOut ? recordOutcome.unanswered : toRecordOutcome(answer);
		this.#record({
			call, routerId: router.id, outcome, endMs: this.#computeElapsedMs(), idempotencyKey, answer,
		});
	}

	async #call(call: PlannedCall, {callerAddress}: FleetRouter, idempotencyKey: string | undefined): Promise<Answer> {
		const {traffic, deployment} = this.#plan;
		const caller = this.#findCaller(call.account);
		const key = `${deployment.keyPrefix}${call.account}`;
		const intendedAt = this.#startedAt + call.atMs;
		if (call.kind === callKind.chat) {
			const {chatId, maxTokens, priority} = call;
			return caller.callChat(callerAddress, {
				key, model: deployment.model, chatId, maxTokens, priority, intendedAt,
			});
		}

		const plainCalls = {
			[callKind.booking]: {
				key, method: 'POST', path: traffic.bookingPath, idempotencyKey,
			},
			[callKind.read]: {key, method: 'GET', path: traffic.readPath},
			[callKind.open]: {method: 'GET', path: traffic.openPath},
		};
		return caller.callPlain(callerAddress, {...plainCalls[call.kind], intendedAt});
	}

	async #fetchTicket({account}: PlannedCall, {callerAddress}: FleetRouter): Promise<string | undefined> {
		return this.#findCaller(account).fetchTicket(callerAddress, `${this.#plan.deployment.keyPrefix}${account}`);
	}

	#findCaller(account: string): Caller {
		const existing = this.#callers.get(account);
		if (existing !== undefined) {
			return existing;
		}

		const caller = new Caller();
		this.#callers.set(account, caller);
		return caller;
	}

	async #waitForFinalAnswers(): Promise<void> {
		const allAnswered = Promise.all(this.#openCalls);
		const timer = setTimeout(() => {
			this.#hasTimedOut = true;
			for (const caller of this.#callers.values()) {
				void caller.destroy();
			}
		}, finalAnswerTimeoutMs);
		await allAnswered;
		clearTimeout(timer);
	}

	#record(record: AnswerRecord): void {
		this.#records.push(record);
		this.#counts[record.outcome]++;
		if (record.answer !== undefined) {
			this.#timelines.record(record.call.account, record.answer);
		}
	}

	#reportProgress(fault?: InjectedFault): void {
		this.#options.onProgress?.({
			elapsedMs: this.#computeElapsedMs(), sentCount: this.#sentCount, openCount: this.#openCalls.size, counts: this.#counts, fault,
		});
	}

	#computeElapsedMs(): number {
		return performance.now() - this.#startedAt;
	}
}
