/**
 * The exact counter of the load package, under the name that scenarios use.
 */
export {admitExactly, computeOverrun} from '@sequoiatally/load';
