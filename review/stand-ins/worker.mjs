/**
 * Stand-in for a worker, as a process of its own: one thread serves the connections,
 * another one does the work of the requests. Lines on the standard output tell what
 * happens. The parent process may let the worker fall silent.
 */
import {createHash} from 'node:crypto';
import {createServer} from 'node:http';
import process from 'node:process';
import {
	isMainThread, parentPort, Worker,
} from 'node:worker_threads';

const readClock = () => Number(process.hrtime.bigint() / 1000n) / 1000;

/** Does the work: calls `onStep` for each event that was made, at its time. */
function runEngine(port) {
	const timers = new Map();
	port.on('message', ({run, cancel, firstMs, stepMs, count}) => {
		if (cancel) {
			clearTimeout(timers.get(run));
			timers.delete(run);
			return;
		}

		let index = 0;
		const step = () => {
			index++;
			port.postMessage({run, index, at: readClock()});
			if (index < count) {
				timers.set(run, setTimeout(step, stepMs));
			}
		};

		timers.set(run, setTimeout(step, firstMs));
	});
}

function report(event) {
	process.stdout.write(`${JSON.stringify({at: readClock(), ...event})}\n`);
}

/** Computes a number in [0, 1) that is the same for a request at all workers. */
function computeShare(text) {
	return createHash('sha256').update(text).digest().readUInt32BE() / (2 ** 32);
}

function serve() {
	const [id, port, optionsText] = process.argv.slice(2);
	const {firstMs = 60, stepMs = 24, eventCount = 56, workMs = 20, errorShare = 0} = JSON.parse(optionsText);
	const engine = new Worker(new URL(import.meta.url));
	/** What to do with each event that the engine makes, by request. */
	const runs = new Map();
	let silenceMs = 0;
	process.on('message', command => {
		silenceMs = command.silenceMs ?? silenceMs;
	});
	engine.on('message', ({run, index, at}) => {
		report({
			kind: 'step', run, index, at,
		});
		runs.get(run)?.(index, at);
	});

	/** Starts the work of a request, and stops it when the caller closes the connection. */
	const work = (request, response, order, onStep) => {
		const run = request.headers['request-id'];
		report({kind: 'run', run, text: `begins to work on ${run}`});
		runs.set(run, onStep);
		engine.postMessage({run, ...order});
		response.on('close', () => {
			runs.delete(run);
			if (!response.writableFinished) {
				engine.postMessage({run, cancel: true});
				report({kind: 'left', run, text: `finds that the connection of ${run} is closed, and stops its work`});
			}
		});
	};

	const createHeaders = request => ({
		'Request-Id': request.headers['request-id'], 'Response-Stamp': `stamp-of-${id}`, 'Instance-Load': `${runs.size},0,96`,
	});

	const answer = (request, response) => {
		if (request.headers['expect-instance'] !== id) {
			response.writeHead(421, {'Instance-Id': id}).end();
			return;
		}

		if (request.url.startsWith('/guide/') || request.url.startsWith('/notes/')) {
			const first = Number(request.headers['last-event-id'] ?? 0);
			work(request, response, {firstMs, stepMs, count: eventCount - first}, index => {
				if (!response.headersSent) {
					response.writeHead(200, {...createHeaders(request), 'Content-Type': 'text/event-stream'});
				}

				response.write(`id: ${first + index}\ndata: piece ${first + index}\n\n`);
				if (first + index === eventCount) {
					response.end();
				}
			});
		} else {
			work(request, response, {firstMs: workMs, stepMs: 0, count: 1}, () => {
				const status = computeShare(request.headers['request-id']) < errorShare ? 500 : 200;
				report({kind: 'answer', run: request.headers['request-id'], text: `answers ${request.headers['request-id']} with ${status}`});
				response.writeHead(status, createHeaders(request)).end(`answer to ${request.headers['request-id']}`);
			});
		}

		if (silenceMs > 0) {
			const durationMs = silenceMs;
			silenceMs = 0;
			report({kind: 'silent', text: `serves no connection for ${durationMs} ms; its work goes on`});
			// The thread of the connections stands still, as in a long pause of its runtime.
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
			report({kind: 'resumed', text: 'serves its connections again'});
		}
	};

	const server = createServer({keepAliveTimeout: 15_000}, (request, response) => {
		request.resume();
		request.on('end', () => {
			answer(request, response);
		});
	});
	server.listen(Number(port), '127.0.0.1', () => {
		report({kind: 'listening'});
	});
}

if (isMainThread) {
	serve();
} else {
	runEngine(parentPort);
}
