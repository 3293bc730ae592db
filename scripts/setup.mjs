/**
 * Installs the dependencies if they are missing or older than the lock file.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, statSync, utimesSync} from 'node:fs';
import process from 'node:process';

const installedMarker = 'node_modules/.package-lock.json';
const lockFile = 'package-lock.json';

const isCurrent = existsSync(installedMarker)
	&& statSync(installedMarker).mtimeMs >= statSync(lockFile).mtimeMs;

if (!isCurrent) {
	const {status} = spawnSync('npm', ['ci', '--no-progress'], {stdio: 'inherit'});
	if (status !== 0) {
		process.exitCode = status ?? 1;
		throw new Error('npm ci failed');
	}

	// `npm ci` keeps the modification time of the lock file, so the time of the marker is renewed for the next comparison.
	utimesSync(installedMarker, new Date(), new Date());
}
