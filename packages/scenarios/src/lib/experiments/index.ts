/**
 * All experiments, in the order in which they are reported.
 */
import type {Experiment} from '../experiment.js';
import {Control} from './control.js';
import {Deployments} from './deployments.js';
import {Documents} from './documents.js';
import {Overhead} from './overhead.js';
import {RoutingExperiment} from './routing.js';
import {SharesExperiment} from './shares.js';
import {Slopes} from './slopes.js';
import {ZonesExperiment} from './zones.js';

export const experiments: readonly Experiment[] = [
	new RoutingExperiment(),
	new ZonesExperiment(),
	new SharesExperiment(),
	new Overhead(),
	new Control(),
	new Slopes(),
	new Documents(),
	new Deployments(),
];
