package main

// route returns a route of the configuration.
func route(name, kind, service string, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "hostname": "h.example", "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 8000,
		"target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": 2, "allow_anonymous": false,
	}
	for key, value := range more {
		out[key] = value
	}
	return out
}

// configuration returns a version of the configuration with one tenant.
func configuration(version int, routes []any, services ...string) map[string]any {
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": 418, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}

// registration returns the record of a replica.
func registration(service, address, state string, born int64, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 12, "state": state,
		"cold_remaining_ms": 0, "sequence": sequence, "born": born,
	}
}

// modelService returns a service whose replicas are ranks of a group.
func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 418, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 38.0,
		"engine": map[string]any{
			"slots": 12, "sets": 1, "experts": 4, "placements": 4, "spare": 3, "expert_mb": 2200.0, "expert_share": 0.85, "form_ms": 600.0, "link_mbps": 180000.0,
		},
	}
}
