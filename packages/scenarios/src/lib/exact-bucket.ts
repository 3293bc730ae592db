/**
 * The exact counter of the load package, under the name that scenarios use.
 */
export {admitByExactBucket, computeOverrun} from '@sequoiatally/load';
