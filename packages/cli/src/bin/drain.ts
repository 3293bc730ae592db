#!/usr/bin/env node
/**
 * Binary of the `drain` command.
 */
import {DrainCommand} from '../lib/commands/drain-commands.js';
import {runBinary} from '../lib/run-binary.js';
import {runCommand} from '../lib/run-commands.js';

await runBinary(async (source, output) => runCommand(new DrainCommand(), source, output));
