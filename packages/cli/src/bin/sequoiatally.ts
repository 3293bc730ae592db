#!/usr/bin/env node
/**
 * Runs any command as a subcommand.
 */
import {createCommands} from '../lib/commands/index.js';
import {runBinary} from '../lib/run-binary.js';
import {runCommands} from '../lib/run-commands.js';

await runBinary(async (source, output) => runCommands(createCommands(), source, output));
