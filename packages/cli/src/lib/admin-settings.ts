/**
 * Settings of the commands that call instances.
 */
import {
	defineText, parseAddress, type Setting, type SocketAddress,
} from '@sequoiatally/runtime';

/** Defines the administration addresses of the instances to call. */
export function defineAddresses(): Setting<readonly SocketAddress[]> {
	return {
		flag: 'addresses',
		description: 'Administration addresses of the instances to call',
		allowed: 'comma-separated IPv4 addresses with ports, such as 127.0.0.1:7103,127.0.0.1:7203',
		parse: parseAddresses,
	};
}

function parseAddresses(text: string): readonly SocketAddress[] | undefined {
	const addresses = text.split(',').map(part => parseAddress(part));
	return addresses.includes(undefined) ? undefined : addresses as SocketAddress[];
}

/** Defines the operator's token. Given by the environment variable, it does not appear in the list of processes. */
export function defineToken(): Setting<string> {
	return defineText({flag: 'token', description: 'Operator\'s token; prefer the environment variable, which the list of processes does not show', isSecret: true});
}

/** Settings of a command that calls instances. */
export const adminSettings = {addresses: defineAddresses(), token: defineToken()};
