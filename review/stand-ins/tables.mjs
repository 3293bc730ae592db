/**
 * The configuration of a small deployment: a service of model workers, one of plain
 * workers, and the kinds of routes that the users' sheets have.
 */

const createRoute = (name, fields) => ({
	name, host: 'a.example', pathPrefix: `/${name}/`, timeoutMs: 3000, targetLatencyMs: 600, priority: 1, maxAttempts: 2, public: false, sticky: false, ...fields,
});

export const tables = {
	version: 7,
	routes: [
		createRoute('guide', {
			kind: 'streaming', resumable: true, sticky: true, targetGapMs: 400, service: 'brain',
		}),
		createRoute('notes', {
			kind: 'streaming', resumable: false, sticky: true, targetGapMs: 400, timeoutMs: 15_000, maxAttempts: 1, service: 'brain',
		}),
		createRoute('history', {
			kind: 'safe', timeoutMs: 1500, targetLatencyMs: 386, service: 'desk',
		}),
		createRoute('booking', {
			kind: 'unsafe', timeoutMs: 1500, targetLatencyMs: 386, maxAttempts: 1, service: 'desk',
		}),
	],
	services: [
		{
			name: 'brain', healthPath: '/health', maxConnections: 480, protocol: 'h1', tls: false, coldStartS: 0, coldPerS: 0,
		},
		{
			name: 'desk', healthPath: '/health', maxConnections: 96, protocol: 'h1', tls: false, coldStartS: 0, coldPerS: 0,
		},
	],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{name: 'crews', apiKeys: ['key-of-crews'], priority: 1}],
};
