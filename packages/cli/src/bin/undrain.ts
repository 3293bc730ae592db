#!/usr/bin/env node
/**
 * Binary of the `undrain` command.
 */
import {UndrainCommand} from '../lib/commands/drain-commands.js';
import {runBinary} from '../lib/run-binary.js';
import {runCommand} from '../lib/run-commands.js';

await runBinary(async (source, output) => runCommand(new UndrainCommand(), source, output));
