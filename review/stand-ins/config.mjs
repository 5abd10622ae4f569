/** A configuration as an operator sends it: one streaming route to a service of model engines, and one customer without a limit. */
export function createConfig(route) {
	return {
		version: 7,
		routes: [{
			name: 'r-drafts',
			host: 'app.example',
			'path-prefix': '/drafts/',
			kind: 'streaming',
			'timeout-ms': 12_000,
			'target-latency-ms': 500,
			priority: 1,
			service: 'llm',
			'max-attempts': 1,
			public: false,
			sticky: true,
			resumable: false,
			'gap-target-ms': 150,
			...route,
		}],
		services: [{
			name: 'llm',
			'health-path': '/healthz',
			'max-connections': 370,
			protocol: 'h1',
			tls: false,
			'cold-start-s': 0,
			'cold-per-s': 0,
			engine: {
				slots: 64,
				'kv-capacity': 122_637,
				'weights-mb': 200_000,
				'adapter-slots': 8,
				'loads-per-s': 1.9,
				models: [{
					name: 'm1', 'weights-mb': 34_300, 'load-s': 2.6, adapters: 0, 'adapter-mb': 40, 'warm-s': 0.28, 'disk-s': 0.4,
				}],
			},
		}],
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
		},
		tenants: [{
			name: 'hule930', 'api-keys': ['k1'], priority: 1, unit: 'token_gen', 'plain-tokens': 200, 'rate-per-s': 0, burst: 0,
		}],
	};
}
