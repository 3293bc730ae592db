/**
 * Client of the administration API of one instance. Answers are checked against
 * the schemas of the API.
 */
import {adminRoutes, type AdminOutput, type AdminRouteName} from '@sequoiatally/router/admin';
import {describeError, type SocketAddress} from '@sequoiatally/runtime';
import {err, ok, type Result} from 'neverthrow';
import {Agent, request} from 'undici';

const callTimeoutMs = 5000;

export const adminFaultKind = {
	unreachable: 'unreachable',
	/** The instance answered with a status other than 200, usually with a typed error. */
	refused: 'refused',
	/** The answer does not match the schema of its route. */
	badAnswer: 'bad-answer',
} as const;

/** The reason why an instance gave no usable answer. */
export type AdminFault = {
	readonly kind: typeof adminFaultKind[keyof typeof adminFaultKind];
	readonly address: string;
	/** Type of the error that the instance returned; `undefined` if there is none. */
	readonly type?: string;
	readonly message: string;
};

/** Path parameters, query and body of a call. */
export type AdminCall = {
	readonly parameters?: Readonly<Record<string, string>>;
	readonly query?: Readonly<Record<string, string | undefined>>;
	readonly body?: Readonly<Record<string, unknown>>;
};

/** Calls the administration API of one instance. */
export class AdminClient {
	readonly address: string;
	readonly #token: string;
	readonly #agent = new Agent({connect: {timeout: callTimeoutMs}});

	constructor({host, port}: SocketAddress, token: string) {
		this.address = `${host}:${port}`;
		this.#token = token;
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	/** Calls a route; every failure is returned as an `AdminFault`. */
	async call<N extends AdminRouteName>(name: N, call: AdminCall = {}): Promise<Result<AdminOutput<N>, AdminFault>> {
		const {method, path} = adminRoutes[name];
		const filledPath = path.replaceAll(/{(\w+)}/g, (_, parameter: string) => encodeURIComponent(call.parameters?.[parameter] ?? ''));
		const query = new URLSearchParams(Object.entries(call.query ?? {}).filter((pair): pair is [string, string] => pair[1] !== undefined));
		try {
			const response = await request(`http://${this.address}${filledPath}?${query.toString()}`, {
				method: method === 'get' ? 'GET' : 'POST',
				dispatcher: this.#agent,
				headers: {authorization: `Bearer ${this.#token}`, 'content-type': 'application/json'},
				body: call.body === undefined ? null : JSON.stringify(call.body),
				signal: AbortSignal.timeout(callTimeoutMs),
			});
			return this.#readAnswer(name, response.statusCode, await response.body.text());
		} catch (error) {
			return err({kind: adminFaultKind.unreachable, address: this.address, message: describeError(error)});
		}
	}

	#readAnswer<N extends AdminRouteName>(name: N, status: number, text: string): Result<AdminOutput<N>, AdminFault> {
		const value = parseJson(text);
		if (status !== 200) {
			const {type, message} = (value as {error?: {type?: string; message?: string}} | undefined)?.error ?? {};
			return err({
				kind: adminFaultKind.refused, address: this.address, type, message: message ?? `status ${status}`,
			});
		}

		const parsed = adminRoutes[name].response.safeParse(value);
		return parsed.success
			? ok(parsed.data as AdminOutput<N>)
			: err({kind: adminFaultKind.badAnswer, address: this.address, message: `The answer does not match the schema of the administration API: ${parsed.error.message}`});
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** The answer of one instance, or the reason why there is none. */
export type InstanceAnswer<T> = {readonly address: string; readonly result: Result<T, AdminFault>};

/** Calls all instances concurrently, each with its own client. */
export async function callAll<T>(
	{addresses, token}: {readonly addresses: readonly SocketAddress[]; readonly token: string},
	call: (client: AdminClient) => Promise<Result<T, AdminFault>>,
): Promise<Array<InstanceAnswer<T>>> {
	return Promise.all(addresses.map(async address => {
		const client = new AdminClient(address, token);
		try {
			return {address: client.address, result: await call(client)};
		} finally {
			await client.close();
		}
	}));
}
