#!/usr/bin/env node
/**
 * Binary of the `check` command.
 */
import {CheckCommand} from '../lib/commands/check-command.js';
import {runBinary} from '../lib/run-binary.js';
import {runCommand} from '../lib/run-commands.js';

await runBinary(async (source, output) => runCommand(new CheckCommand(), source, output));
