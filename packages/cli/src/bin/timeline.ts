#!/usr/bin/env node
/**
 * Binary of the `timeline` command.
 */
import {TimelineCommand} from '../lib/commands/timeline-command.js';
import {runBinary} from '../lib/run-binary.js';
import {runCommand} from '../lib/run-commands.js';

await runBinary(async (source, output) => runCommand(new TimelineCommand(), source, output));
