#!/usr/bin/env node
/**
 * Binary of the `explain` command.
 */
import {ExplainCommand} from '../lib/commands/explain-command.js';
import {runBinary} from '../lib/run-binary.js';
import {runCommand} from '../lib/run-commands.js';

await runBinary(async (source, output) => runCommand(new ExplainCommand(), source, output));
