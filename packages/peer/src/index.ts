/**
 * The messages between routers. The code in `gen/` is generated from `proto/`
 * by `npm run generate` and committed, so that a build needs no generator.
 */
export * from './gen/sequoiatally/peer/v1/peer_pb.js';
