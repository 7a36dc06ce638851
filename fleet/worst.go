package fleet

import "time"

// Worst returns, per rule with a bound, how near a run came to the bound: in seconds after the
// acknowledgement or the event, or as a share. Rules without any case are left out.
func Worst(park *Cluster, facts Facts) map[string]float64 {
	worst := map[string]float64{}
	note := func(rule string, value float64) {
		if highest, isKnown := worst[rule]; !isKnown || value > highest {
			worst[rule] = value
		}
	}
	for _, served := range park.Logs() {
		for serial, ack := range facts.Acked {
			if served.Serial < serial {
				note("old config", (served.Sent - ack.At).Seconds())
			}
		}
	}
	for _, arrival := range park.Arrivals {
		if since, known := park.TerminationLearned[arrival.Replica+"/"+arrival.Boot]; known {
			note("leaving", (arrival.Sent - since).Seconds())
		}
		for _, span := range facts.Evacuated {
			inside := span.Zone == park.zones[arrival.Replica] || span.Zone == park.zones[arrival.Daemon]
			if inside && (span.Until == 0 || arrival.Sent < span.Until) {
				note("evacuated", (arrival.Sent - span.From).Seconds())
			}
		}
	}
	eachRepeat(park, func(_ time.Duration, count, fresh int) {
		if fresh > 100 {
			note("retries", float64(count)/float64(fresh))
		}
	})
	beyond := 0
	for _, replica := range append(append([]*Replica{}, park.pastReplicas...), park.currentReplicas()...) {
		beyond += replica.ColdOverload
	}
	note("flooded", float64(beyond))
	return worst
}
