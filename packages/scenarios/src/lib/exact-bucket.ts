/**
 * Re-exports the exact token bucket of the load package, which serves as the
 * reference for the limits of client accounts.
 */
export {admitByExactBucket, computeOverrun} from '@sequoiatally/load';
