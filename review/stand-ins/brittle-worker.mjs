/**
 * Stand-in for a plain worker that is brittle, and says so in all its answers: one that
 * has to turn away more requests in a second than it names falls over. It has slots and
 * a short queue, and turns away with 503 and `Not-Executed` what finds no room.
 */
import {createServer} from 'node:http';
import process from 'node:process';

const readClock = () => Number(process.hrtime.bigint() / 1000n) / 1000;
/** Time in which the requests that were turned away are counted, in milliseconds. */
const windowMs = 1000;

const [id, port, optionsText] = process.argv.slice(2);
const {
	slots, queueLimit, workMs, brittleLimit,
} = JSON.parse(optionsText);
const queue = [];
let runCount = 0;
let rejectedAt = [];

function report(event) {
	process.stdout.write(`${JSON.stringify({at: readClock(), ...event})}\n`);
}

function createHeaders(request) {
	return {'Request-Id': request.headers['request-id'], 'Response-Stamp': `stamp-of-${id}`, 'Server-Brittle': String(brittleLimit)};
}

function run(request, response) {
	const name = request.headers['request-id'];
	if (response.destroyed) {
		return;
	}

	runCount++;
	report({kind: 'run', run: name, text: `begins to work on ${name}`});
	setTimeout(() => {
		runCount--;
		report({kind: 'answer', run: name, text: `answers ${name} with 200`});
		response.writeHead(200, createHeaders(request)).end(`answer to ${name}`);
		while (queue.length > 0 && runCount < slots) {
			run(...queue.shift());
		}
	}, workMs);
}

function reject(request, response) {
	const now = readClock();
	report({kind: 'rejected', run: request.headers['request-id']});
	rejectedAt = [...rejectedAt.filter(at => now - at < windowMs), now];
	if (rejectedAt.length > brittleLimit) {
		report({kind: 'fell', text: `turned away ${rejectedAt.length} requests in a second and falls over, with ${runCount} requests at work`});
		process.kill(process.pid, 'SIGKILL');
	}

	response.writeHead(503, {...createHeaders(request), 'Not-Executed': '1'}).end();
}

const server = createServer({keepAliveTimeout: 15_000}, (request, response) => {
	request.resume();
	request.on('end', () => {
		if (request.headers['expect-instance'] !== id) {
			response.writeHead(421, {'Instance-Id': id}).end();
		} else if (runCount < slots) {
			run(request, response);
		} else if (queue.length < queueLimit) {
			queue.push([request, response]);
		} else {
			reject(request, response);
		}
	});
});
server.listen(Number(port), '127.0.0.1', () => {
	report({kind: 'listening'});
});
