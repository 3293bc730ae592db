/**
 * Starts the requests of this process whose responses it reads itself. They are parsed strictly, also in a process
 * that was started with the option for a lenient parser.
 */
import {request as startRequest, type ClientRequest, type RequestOptions} from 'node:http';

export function startStrictRequest(options: RequestOptions): ClientRequest {
	return startRequest({...options, insecureHTTPParser: false}); // eslint-disable-line @typescript-eslint/naming-convention -- an option of Node.js
}
