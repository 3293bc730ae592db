/**
 * Public API of the router daemon, for programs that embed it, such as tests.
 */
export * from './lib/peer-mapping.js';
export * from './lib/router.js';
export * from './lib/runner.js';
export {adminRoutes, type AdminOutput, type AdminRouteName} from './lib/admin/admin-routes.js';
export {createAdminApp, type AdminDependencies} from './lib/admin-server.js';
export {Metrics} from './lib/metrics.js';
export {createOpenApi} from './lib/admin/create-openapi.js';
