/**
 * Finds out whether targets answer: each probe sends a request of the targets' protocol that
 * costs little over a connection of its own. Any response counts, also an error; an open
 * connection alone does not, since a proxy may have accepted it.
 */
import {connect} from 'node:net';
import {probeResult, type ProbeTargetEffect, type TargetProbedEvent} from '@sequoiatally/dispatch';
import {parseAddress, type LifecycleManager} from '@sequoiatally/runtime';
import type {TargetProtocol} from './protocol.js';
import {startStrictRequest} from './strict-request.js';

/** Time limits for opening the connection, and for the response after that, in milliseconds. */
const connectTimeoutMs = 300;
const responseTimeoutMs = 500;
/** Prefix of the codes of errors that bytes cause that are no valid response. */
const parseErrorPrefix = 'HPE_';

export type ProbeListener = (result: TargetProbedEvent['result'], startedAt: number) => void;

export class TargetProber {
	readonly #protocol: TargetProtocol;
	readonly #readClock: () => number;
	/** Functions that end the probes under way without a result. */
	readonly #active = new Set<() => void>();

	constructor(protocol: TargetProtocol, readClock: () => number, lifecycle: LifecycleManager) {
		this.#protocol = protocol;
		this.#readClock = readClock;
		lifecycle.own('target probes', () => {
			for (const stop of this.#active) {
				stop();
			}
		});
	}

	/** Sends a probe; `onResult` is called once. */
	probe({targetId, address, path}: Omit<ProbeTargetEffect, 'kind'>, onResult: ProbeListener): void {
		const startedAt = this.#readClock();
		const {host, port} = parseAddress(address)!;
		const socket = connect({host, port, noDelay: true});
		const request = startStrictRequest({
			createConnection: () => socket, method: 'GET', path: path ?? '/', headers: this.#protocol.createProbeHeaders(targetId), setHost: false,
		});
		let hasOpened = false;
		let timer: NodeJS.Timeout | undefined;
		const stop = () => {
			clearTimeout(timer);
			this.#active.delete(stop);
			request.destroy();
			socket.destroy();
		};

		const finish = (result: TargetProbedEvent['result']) => {
			if (this.#active.has(stop)) {
				stop();
				onResult(result, startedAt);
			}
		};

		const finishUnanswered = () => {
			finish(hasOpened ? probeResult.unanswered : probeResult.unreached);
		};

		const startTimer = (timeoutMs: number) => {
			clearTimeout(timer);
			timer = setTimeout(() => {
				// After a pause of this process, timers expire before responses are seen that arrived meanwhile.
				setImmediate(finishUnanswered);
			}, timeoutMs);
		};

		this.#active.add(stop);
		startTimer(connectTimeoutMs);
		socket.once('connect', () => {
			hasOpened = true;
			startTimer(responseTimeoutMs);
		});
		request.once('response', () => {
			finish(probeResult.answered);
		});
		request.on('error', ({code}: NodeJS.ErrnoException) => {
			if (code?.startsWith(parseErrorPrefix)) {
				finish(probeResult.answered);
			} else {
				finishUnanswered();
			}
		});
		request.end();
	}
}
