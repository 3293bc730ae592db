#!/usr/bin/env node
/**
 * Binary of the `status` command.
 */
import {StatusCommand} from '../lib/commands/status-command.js';
import {runBinary} from '../lib/run-binary.js';
import {runCommand} from '../lib/run-commands.js';

await runBinary(async (source, output) => runCommand(new StatusCommand(), source, output));
