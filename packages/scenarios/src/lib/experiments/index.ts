/**
 * List of all experiments, in the order in which the page reports them.
 */
import type {Experiment} from '../experiment.js';
import {ControlExperiment} from './control.js';
import {DeploymentsExperiment} from './deployments.js';
import {DocumentsExperiment} from './documents.js';
import {OverheadExperiment} from './overhead.js';
import {RoutingExperiment} from './routing.js';
import {SharesExperiment} from './shares.js';
import {SlopesExperiment} from './slopes.js';
import {ZonesExperiment} from './zones.js';

export const experiments: readonly Experiment[] = [
	new RoutingExperiment(),
	new ZonesExperiment(),
	new SharesExperiment(),
	new OverheadExperiment(),
	new ControlExperiment(),
	new SlopesExperiment(),
	new DocumentsExperiment(),
	new DeploymentsExperiment(),
];
