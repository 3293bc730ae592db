/**
 * Stand-in for a faulty worker: to a share of its answers it adds bytes that belong to
 * no request, after the end of the complete answer.
 */
import {createHash} from 'node:crypto';
import {createServer} from 'node:http';
import process from 'node:process';

const [id, port, optionsText] = process.argv.slice(2);
const {workMs, extraShare, bodyBytes} = JSON.parse(optionsText);

function report(event) {
	process.stdout.write(`${JSON.stringify({at: Number(process.hrtime.bigint() / 1000n) / 1000, ...event})}\n`);
}

/** Computes a number in [0, 1) from the name of a request. */
function computeShare(text) {
	return createHash('sha256').update(`${id} ${text}`).digest().readUInt32BE() / (2 ** 32);
}

const server = createServer({keepAliveTimeout: 15_000}, (request, response) => {
	request.resume();
	request.on('end', () => {
		const name = request.headers['request-id'];
		if (request.headers['expect-instance'] !== id) {
			response.writeHead(421, {'Instance-Id': id}).end();
			return;
		}

		report({kind: 'run', run: name, text: `begins to work on ${name}`});
		setTimeout(() => {
			const body = `answer to ${name} `.padEnd(bodyBytes, '.');
			const hasExtra = computeShare(name) < extraShare;
			report({kind: 'answer', run: name, text: `answers ${name} with 200 and ${body.length} bytes${hasExtra ? ', and 16 bytes that belong to no request' : ''}`});
			response.writeHead(200, {'Request-Id': name, 'Response-Stamp': `stamp-of-${id}`, 'Content-Length': body.length});
			if (hasExtra) {
				// One segment holds the whole answer and what follows it.
				response.socket.cork();
				response.end(body);
				response.socket.write('no-bytes-of-http');
				response.socket.uncork();
			} else {
				response.end(body);
			}
		}, workMs);
	});
});
server.listen(Number(port), '127.0.0.1', () => {
	report({kind: 'listening'});
});
