package rollout

import (
	"encoding/json"
	"maps"
	"slices"
)

func sorted[V any](table map[string]V) []string { return slices.Sorted(maps.Keys(table)) }

func has(list []string, element string) bool { return slices.Contains(list, element) }

func unmarshal(data []byte, value any) error { return json.Unmarshal(data, value) }
