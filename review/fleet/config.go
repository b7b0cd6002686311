package fleet

// Route returns a route of host "h" below /NAME/.
func Route(name, kind, service string, timeoutMS, objectiveMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "h", "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": timeoutMS, "target_latency_ms": objectiveMS,
		"priority": 2, "service": service, "max_attempts": attempts, "public": false, "resumable": false,
	}
}

// Config returns a configuration with one tenant "t1", whose key is "key1", as the examples of the pages write it.
func Config(version int, routes []map[string]any, services []string, ratePerS, burst int64) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "t1", "api_keys": []string{"key1"}, "priority": 1, "unit": "tokens", "uncached_tokens": 200, "rate_per_s": ratePerS, "burst": burst,
		}},
	}
}
