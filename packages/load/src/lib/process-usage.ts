/**
 * Processor time and memory of a process, read from Linux's /proc. Used by
 * measurements only.
 */
import {readFile} from 'node:fs/promises';

/** Linux counts processor time in ticks of a hundredth of a second. */
const clockTickMs = 10;
/** Places of the user and system time among the fields after the process's name. */
const userTimeFieldIndex = 11;
const systemTimeFieldIndex = 12;

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
	const processorMs = (Number(fields[userTimeFieldIndex]) + Number(fields[systemTimeFieldIndex])) * clockTickMs;
	const residentKib = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
	return {processorMs, residentBytes: residentKib * 1024};
}
