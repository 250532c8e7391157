package sched

import (
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// A job that no placement can ever satisfy is not accepted; one that can run in parts is.
func TestAdmit(t *testing.T) {
	b := newBed(t, config.Team{Name: "a", MaxCPUs: 16})
	x := "x"
	for _, c := range []struct {
		what, shape         string
		tasks               int
		zone                *string
		oneZone, spread, ok bool
	}{
		{"a gang in one zone", wire.Gang, 2, nil, true, false, true},
		{"a gang spread", wire.Gang, 2, nil, false, true, true},
		{"a gang in one zone and spread", wire.Gang, 2, nil, true, true, false},
		{"a lone task in one zone and spread", wire.Gang, 1, nil, true, true, true},
		{"a gang spread in a zone", wire.Gang, 2, &x, false, true, false},
		{"a service spread in a zone", wire.Service, 2, &x, false, true, false},
		{"an array spread in a zone, a half at a time", wire.Array, 2, &x, false, true, true},
		{"an array in one zone and spread", wire.Array, 4, nil, true, true, true},
		{"a gang beyond the limit", wire.Gang, 5, nil, false, false, false},
		{"an array beyond the limit, a few at a time", wire.Array, 5, nil, false, false, true},
	} {
		j := spec("j-1", "a", wire.Normal, c.tasks, 4)
		j.Shape, j.Zone, j.OneZone, j.Spread = c.shape, c.zone, c.oneZone, c.spread
		cat := wire.Catalog{}
		for _, n := range []string{"s", "g"} {
			cat.Types = append(cat.Types, *b.machineTypes[n])
		}
		b.settings.Deployment.Teams = []config.Team{{Name: "a", MaxCPUs: 16}}
		if err := Admit(b.settings, cat, &j); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.what, err)
		}
	}
}
