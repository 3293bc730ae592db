/**
 * All experiments, in the order in which they are reported.
 */
import type {Experiment} from '../experiment.js';
import {RoutingExperiment} from './routing.js';
import {ZonesExperiment} from './zones.js';

export const experiments: readonly Experiment[] = [
	new RoutingExperiment(),
	new ZonesExperiment(),
];
