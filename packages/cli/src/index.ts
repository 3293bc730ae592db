/**
 * The command line for operators.
 */
export {parseConfiguration} from '@sequoiatally/core';
