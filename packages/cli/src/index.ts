/**
 * The operators' command line as a library, for programs that run its commands
 * or merge and draw timelines.
 */
export {checkConfigurationText} from './lib/commands/check-command.js';
export {createCommands} from './lib/commands/index.js';
export {exitCode, type ExitCode} from './lib/exit-code.js';
export {runCommand, runCommands, type CommandOutput} from './lib/run-commands.js';
export {drawTimeline} from './lib/timeline/draw-timeline.js';
export {mergeTimeline, type MergedTimeline} from './lib/timeline/merge-timeline.js';
export {parseLines} from './lib/timeline/parse-lines.js';
