package sched

import (
	"dalefront/wire"
)

const (
	// capacityRetryDelay is the time after a refusal in which the cloud isn't asked again for machines of the
	// refused kind.
	capacityRetryDelay = 15 * second
	// capacityMemory is the time for which the refused kind still counts as lacking after capacityRetryDelay
	// has passed.
	capacityMemory = 45 * second
)

// machineKind identifies machines that share capacity in the cloud: all spot machines, or all on-demand
// machines, of one type in one zone.
type machineKind struct {
	typeName, zone string
	spot           bool
}

// kind returns the machine's kind.
func (m *machine) kind() machineKind { return machineKind{m.machineType.Name, m.zone, m.spot} }

// requestedKind returns the kind of machine that a request asks for.
func requestedKind(request *wire.ScaleOutRequest) machineKind {
	return machineKind{request.Type, request.Zone, request.Spot}
}

// cloudCapacity records what is known of the machines that the cloud can still provide.
type cloudCapacity struct {
	exhaustedUntil map[machineKind]Micros // time until which the cloud isn't asked for a refused kind
	pending        map[string]int         // number of machines in unanswered rental requests, by machine type
}

// newCloudCapacity returns the capacity of a cloud that has not refused anything yet.
func newCloudCapacity() cloudCapacity {
	return cloudCapacity{exhaustedUntil: map[machineKind]Micros{}, pending: map[string]int{}}
}

// recordRequest counts the machines of a request as pending.
func (cc *cloudCapacity) recordRequest(request *wire.ScaleOutRequest) {
	cc.pending[request.Type] += request.Count
}

// recordAnswer removes the machines of an answered request from the pending machines. It must be called
// whether the request was granted, refused or failed.
func (cc *cloudCapacity) recordAnswer(request *wire.ScaleOutRequest) {
	cc.pending[request.Type] = max(0, cc.pending[request.Type]-request.Count)
}

// isPending reports whether a request is unanswered.
func (cc *cloudCapacity) isPending() bool {
	for _, n := range cc.pending {
		if n > 0 {
			return true
		}
	}
	return false
}

// recordRefusal records that the cloud had fewer machines of a kind than requested.
func (cc *cloudCapacity) recordRefusal(kind machineKind, now Micros) {
	cc.exhaustedUntil[kind] = now + capacityRetryDelay
}

// forgetRefusal makes a kind count as never refused.
func (cc *cloudCapacity) forgetRefusal(kind machineKind) { delete(cc.exhaustedUntil, kind) }

// recordReturn records that a machine of a kind was returned, so that the cloud may have capacity for another
// one now.
func (cc *cloudCapacity) recordReturn(kind machineKind, now Micros) {
	if cc.isExhausted(kind, now) {
		cc.exhaustedUntil[kind] = now - 1
	}
}

// isExhausted reports whether the cloud isn't asked for machines of a kind now.
func (cc *cloudCapacity) isExhausted(kind machineKind, now Micros) bool {
	until, refused := cc.exhaustedUntil[kind]
	return refused && now <= until
}

// wasRecentlyExhausted reports whether the cloud recently refused machines of a kind. The result stays true
// for capacityMemory after the cloud may be asked again.
func (cc *cloudCapacity) wasRecentlyExhausted(kind machineKind, now Micros) bool {
	until, refused := cc.exhaustedUntil[kind]
	return refused && now <= until+capacityMemory
}

// lacksCapacity reports whether the cloud recently had no machine of a kind.
func (c *Core) lacksCapacity(typeName, zone string, spot bool) bool {
	return c.cloud.wasRecentlyExhausted(machineKind{typeName, zone, spot}, c.now)
}

// lacksCPUMachines reports whether the cloud recently had no on-demand machine without GPUs that fits the
// job.
func (c *Core) lacksCPUMachines(j *job) bool {
	for _, t := range c.machineTypes {
		if t.GPUs > 0 || !fitsType(&j.spec, t) {
			continue
		}
		for _, zone := range t.Zones {
			if (j.spec.Zone == nil || *j.spec.Zone == zone) && !c.lacksCapacity(t.Name, zone, false) {
				return false
			}
		}
	}
	return true
}

// hourlyRate returns the price of a machine of the type per hour.
func hourlyRate(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// hourlyPrice returns the price of the machine per hour.
func (m *machine) hourlyPrice() float64 { return hourlyRate(m.machineType, m.spot) }
