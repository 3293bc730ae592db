/**
 * The list of all commands.
 */
import type {OperatorCommand} from '../operator-command.js';
import {CheckCommand} from './check-command.js';
import {DrainCommand, UndrainCommand} from './drain-commands.js';
import {ExplainCommand} from './explain-command.js';
import {StatusCommand} from './status-command.js';
import {TimelineCommand} from './timeline-command.js';

/** Creates an instance of each command. */
export function createCommands(): OperatorCommand[] {
	return [new CheckCommand(), new StatusCommand(), new ExplainCommand(), new DrainCommand(), new UndrainCommand(), new TimelineCommand()];
}
