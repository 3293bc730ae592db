/**
 * All experiments, in the order in which they are reported.
 */
import type {Experiment} from '../experiment.js';

export const experiments: readonly Experiment[] = [];
