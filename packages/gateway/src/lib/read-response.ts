/**
 * Reads the response to a call that this process makes for itself, to a peer or to the
 * platform, as a whole. Each call ends once: with the response or with the reason why there is none.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import {describeError} from '@sequoiatally/runtime';
import {err, ok, type Result} from 'neverthrow';
import {ByteCollector} from './byte-collector.js';
import {ResponseBody} from './response-body.js';
import {checkResponseHeads} from './response-head-check.js';

/** A response that arrived as a whole. */
export type WholeResponse = {readonly head: IncomingMessage; readonly body: Uint8Array};

export const responseFaultKind = {
	/** No response, one that broke off, or one whose head is invalid. */
	lost: 'response-lost',
	/** More bytes than the caller accepts. */
	tooLarge: 'response-too-large',
} as const;
export type ResponseFault = {readonly kind: typeof responseFaultKind[keyof typeof responseFaultKind]; readonly detail: string};

/** Reads the response to `request`, whose body may have `maxBytes`. After a failure, the connection is closed. */
export async function readResponse(request: ClientRequest, maxBytes: number): Promise<Result<WholeResponse, ResponseFault>> {
	return new Promise(resolve => {
		let head: IncomingMessage | undefined;
		const fail = (kind: ResponseFault['kind'], detail: string) => {
			resolve(err({kind, detail}));
			request.destroy();
		};

		checkResponseHeads(request, detail => {
			fail(responseFaultKind.lost, detail);
		});
		request.on('error', error => {
			// Behind a complete response, only bytes that do not belong to it can cause an error.
			if (!head?.complete) {
				fail(responseFaultKind.lost, describeError(error));
			}
		});
		request.on('close', () => {
			if (head === undefined) {
				fail(responseFaultKind.lost, 'connection closed without a response');
			}
		});
		request.on('response', response => {
			head = response;
			const collector = new ByteCollector();
			const body = new ResponseBody(response, {
				onData(part) {
					if (collector.length + part.length > maxBytes) {
						body.close();
						fail(responseFaultKind.tooLarge, `the response exceeds ${maxBytes} bytes`);
						return;
					}

					collector.add(part);
				},
				onComplete() {
					resolve(ok({head: response, body: collector.toBytes()}));
				},
				onFailure(detail) {
					fail(responseFaultKind.lost, detail);
				},
			});
		});
	});
}
