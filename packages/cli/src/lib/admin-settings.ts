/**
 * Settings of every command that asks instances.
 */
import {
	defineText, parseAddress, type Setting, type SocketAddress,
} from '@sequoiatally/runtime';

/** Defines the administration addresses of the instances to ask. */
export function defineAddresses(): Setting<readonly SocketAddress[]> {
	return {
		flag: 'addresses',
		description: 'Administration addresses of the instances to ask',
		allowed: 'IPv4 addresses with ports, joined by commas, such as 127.0.0.1:7103,127.0.0.1:7203',
		parse: parseAddresses,
	};
}

function parseAddresses(text: string): readonly SocketAddress[] | undefined {
	const addresses = text.split(',').map(part => parseAddress(part));
	return addresses.includes(undefined) ? undefined : addresses as SocketAddress[];
}

/** Defines the operator's token; the variable keeps it out of the list of processes. */
export function defineToken(): Setting<string> {
	return defineText({flag: 'token', description: 'Operator\'s token; better given by the variable', isSecret: true});
}

/** The two settings together. */
export const adminSettings = {addresses: defineAddresses(), token: defineToken()};
