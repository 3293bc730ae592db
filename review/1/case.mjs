/**
 * Faulty workers send additional bytes after some of their complete answers. A client
 * that gets a success has to get the worker's whole body.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Agent} from 'node:http';
import {runCase} from '../stand-ins/deployment.mjs';
import {tables} from '../stand-ins/tables.mjs';

/** Share of the answers: that of `garble` on the users' site. */
const extraShare = 0.03;
const bodyBytes = 800;
const requestIntervalMs = 12;
const lengthMs = 20_000;

await runCase(import.meta.url, async deployment => {
	deployment.store.put('op/config', tables);
	for (const id of ['w-1', 'w-2', 'w-3']) {
		deployment.registerWorker(await deployment.startWorker(id, {
			program: 'faulty-worker.mjs', workMs: 20, bodyBytes, extraShare: deployment.hasTrouble ? extraShare : 0,
		}), 'desk', {slots: 6});
	}

	const storePort = await deployment.store.listen();
	const first = await deployment.startGateway('front-1', storePort);
	const gateways = [first, await deployment.startGateway('front-2', storePort, [first.control])];
	const agent = new Agent({keepAlive: true});
	const calls = [];
	const end = performance.now() + lengthMs;
	for (let index = 0; performance.now() < end; index++) {
		calls.push(deployment.send(gateways[index % gateways.length], {path: `/history/${index}`, agent, headers: {'Deadline-Ms': '1500'}}));
		await delay(requestIntervalMs);
	}

	const answers = await Promise.all(calls);
	agent.destroy();
	return answers
		.filter(({
			name, status, isComplete, body,
		}) => status === 200 && isComplete && (body.length !== bodyBytes || !body.startsWith(`answer to ${name} `)))
		.map(({name, headers, body}) => `${name} got 200 with ${headers['response-stamp']} and a body of ${body.length} bytes, which looks complete`);
});
