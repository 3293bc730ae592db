#!/usr/bin/env node
/**
 * Binary that has all commands as subcommands.
 */
import {createCommands} from '../lib/commands/index.js';
import {runBinary} from '../lib/run-binary.js';
import {runCommands} from '../lib/run-commands.js';

await runBinary(async (source, output) => runCommands(createCommands(), source, output));
