/**
 * Measures the heap of this process.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Reads the used heap after a full garbage collection, in bytes. */
export function readHeapBytes(): number {
	collectGarbage();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}
