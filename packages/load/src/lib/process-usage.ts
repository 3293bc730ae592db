/**
 * Processor time and memory of a process, read from Linux's /proc. Used by
 * measurements only.
 */
import {readFile} from 'node:fs/promises';

/** Linux counts processor time in ticks of a hundredth of a second. */
const tickMs = 10;
/** Places of the user and system time among the fields after the process's name. */
const userTimeField = 11;
const systemTimeField = 12;

export type ProcessUsage = {
	/** Processor time since the start, in milliseconds. */
	readonly processorMs: number;
	/** Resident memory, in bytes. */
	readonly residentBytes: number;
};

/** Reads what a running process has used. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const [stat, status] = await Promise.all([readFile(`/proc/${pid}/stat`, 'utf8'), readFile(`/proc/${pid}/status`, 'utf8')]);
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const processorMs = (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * tickMs;
	const residentKib = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
	return {processorMs, residentBytes: residentKib * 1024};
}
