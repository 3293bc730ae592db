/**
 * Processor time and memory of a process, read from `/proc` on Linux. Only
 * measurements use this module.
 */
import {readFile} from 'node:fs/promises';

/** Linux reports processor time in clock ticks of 1/100 s. */
const clockTickMs = 10;
/** Indexes of user and system time among the fields of `/proc/PID/stat` after the process name. */
const userTimeFieldIndex = 11;
const systemTimeFieldIndex = 12;

export type ProcessUsage = {
	/** User and system time since the start of the process, in milliseconds. */
	readonly processorMs: number;
	/** Resident memory, in bytes. */
	readonly residentBytes: number;
};

/** Reads the resource usage of a running process. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const [stat, status] = await Promise.all([readFile(`/proc/${pid}/stat`, 'utf8'), readFile(`/proc/${pid}/status`, 'utf8')]);
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const processorMs = (Number(fields[userTimeFieldIndex]) + Number(fields[systemTimeFieldIndex])) * clockTickMs;
	const residentKib = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
	return {processorMs, residentBytes: residentKib * 1024};
}
