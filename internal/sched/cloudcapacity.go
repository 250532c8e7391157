package sched

import (
	"dalefront/wire"
)

const (
	// capacityRetry is how long the cloud isn't asked again for machines of which it had no more.
	capacityRetry = 15 * second
	// capacityMemory is how much longer than that it counts as having none.
	capacityMemory = 45 * second
)

// machineKind is what the cloud has or has not: machines of a type in a zone, spot or on-demand.
type machineKind struct {
	typeName, zone string
	spot           bool
}

// kind is what kind of machine it is.
func (m *machine) kind() machineKind { return machineKind{m.machineType.Name, m.zone, m.spot} }

// requestedKind is the kind of machine that a request asks for.
func requestedKind(request *wire.ScaleOutRequest) machineKind {
	return machineKind{request.Type, request.Zone, request.Spot}
}

// cloudCapacity is what is known of the machines that the cloud can still give.
type cloudCapacity struct {
	exhaustedUntil map[machineKind]Micros // kinds that it had no more of, and until when it isn't asked
	pending        map[string]int         // machines asked for and not answered yet, by type
}

// newCloudCapacity returns that of a cloud that has refused nothing yet.
func newCloudCapacity() cloudCapacity {
	return cloudCapacity{exhaustedUntil: map[machineKind]Micros{}, pending: map[string]int{}}
}

// requested counts machines that are asked for.
func (cc *cloudCapacity) requested(request *wire.ScaleOutRequest) {
	cc.pending[request.Type] += request.Count
}

// answered takes the end of a request.
func (cc *cloudCapacity) answered(request *wire.ScaleOutRequest) {
	cc.pending[request.Type] = max(0, cc.pending[request.Type]-request.Count)
}

// isPending says whether a request has not been answered yet.
func (cc *cloudCapacity) isPending() bool {
	for _, n := range cc.pending {
		if n > 0 {
			return true
		}
	}
	return false
}

// refused notes that the cloud had not as many machines of a kind as it was asked for.
func (cc *cloudCapacity) refused(kind machineKind, now Micros) {
	cc.exhaustedUntil[kind] = now + capacityRetry
}

// forgetRefusal lets a kind count as if it had never been refused.
func (cc *cloudCapacity) forgetRefusal(kind machineKind) { delete(cc.exhaustedUntil, kind) }

// machineReturned notes that there may be room for another machine of a kind now.
func (cc *cloudCapacity) machineReturned(kind machineKind, now Micros) {
	if cc.isExhausted(kind, now) {
		cc.exhaustedUntil[kind] = now - 1
	}
}

// isExhausted says whether the cloud isn't asked for machines of a kind now.
func (cc *cloudCapacity) isExhausted(kind machineKind, now Micros) bool {
	until, refused := cc.exhaustedUntil[kind]
	return refused && now <= until
}

// wasExhausted says whether the cloud was asked for machines of a kind lately and had none: that
// outlasts the time for which it isn't asked again.
func (cc *cloudCapacity) wasExhausted(kind machineKind, now Micros) bool {
	until, refused := cc.exhaustedUntil[kind]
	return refused && now <= until+capacityMemory
}

// lacksCapacity says whether the cloud lately had no machine of a kind.
func (c *Core) lacksCapacity(typeName, zone string, spot bool) bool {
	return c.cloud.wasExhausted(machineKind{typeName, zone, spot}, c.now)
}

// allLackCapacity says whether the cloud lately had no machine without GPUs for the
// job.
func (c *Core) allLackCapacity(j *job) bool {
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

// hourlyRate is what a machine of the type costs.
func hourlyRate(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// hourlyPrice is what the machine costs.
func (m *machine) hourlyPrice() float64 { return hourlyRate(m.machineType, m.spot) }
