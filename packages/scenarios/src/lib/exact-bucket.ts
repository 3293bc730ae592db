/**
 * Re-exports the exact token bucket of the load package, which serves as the
 * reference for the limits of client accounts.
 */
export {admitExactly, computeOverrun} from '@sequoiatally/load';
