/**
 * Structured logs on the standard error stream, one JSON object per line.
 * Levels are handled by the `loglevel` library.
 */
import process from 'node:process';
import loglevel from 'loglevel';
import {readWallMs} from './clock.js';

export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'silent'] as const;
export type LogLevel = typeof logLevels[number];

/** Fields of a log line; `event` identifies the kind of the line for tools. */
export type LogFields = Readonly<Record<string, unknown>> & {readonly event: string};

export type Logger = Record<'trace' | 'debug' | 'info' | 'warn' | 'error', (fields: LogFields) => void>;

/** Creates a logger that adds `fixedFields` to every line. */
export function createLogger(name: string, level: LogLevel, fixedFields: Readonly<Record<string, string>> = {}): Logger {
	const log = loglevel.getLogger(name);
	log.methodFactory = methodName => (fields: LogFields) => {
		const line = JSON.stringify({
			time: new Date(readWallMs()).toISOString(), level: methodName, process: name, ...fixedFields, ...fields,
		});
		process.stderr.write(`${line}\n`);
	};

	log.setLevel(level, false);
	return {
		trace(fields) {
			log.trace(fields);
		},
		debug(fields) {
			log.debug(fields);
		},
		info(fields) {
			log.info(fields);
		},
		warn(fields) {
			log.warn(fields);
		},
		error(fields) {
			log.error(fields);
		},
	};
}
