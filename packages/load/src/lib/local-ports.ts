/**
 * Finds which TCP ports of this machine belong to a process, so that a relay can tell whose connections it carries.
 */
import {readdir, readFile, readlink} from 'node:fs/promises';

/** Lists the local ports of the IPv4 connections of a process; empty if it has ended. */
export async function listLocalPorts(processId: number): Promise<ReadonlySet<number>> {
	const folder = `/proc/${processId}/fd`;
	try {
		const names = await readdir(folder);
		const links = await Promise.all(names.map(async name => readLink(`${folder}/${name}`)));
		const inodes = new Set(links.map(link => /^socket:\[(\d+)]$/.exec(link)?.[1]));
		const table = await readFile('/proc/net/tcp', 'latin1');
		// The columns are a number, the local and the remote address in hexadecimal, and later the inode.
		const rows = table.trim().split('\n').slice(1).map(line => line.trim().split(/\s+/));
		return new Set(rows.filter(row => inodes.has(row[9])).map(row => Number.parseInt(row[1]!.split(':')[1]!, 16)));
	} catch {
		return new Set();
	}
}

async function readLink(path: string): Promise<string> {
	try {
		return await readlink(path);
	} catch {
		// The file was closed meanwhile.
		return '';
	}
}
