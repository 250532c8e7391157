package sched

import (
	"errors"
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

// Each reason for which a job can never run has an error of its own.
func TestAdmitErrors(t *testing.T) {
	b := newBed(t, config.Team{Name: "a", MaxCPUs: 16})
	catalog := wire.Catalog{Types: []wire.MachineType{*b.machineTypes["s"]}}
	zone := "x"
	for name, test := range map[string]struct {
		change  func(*wire.Job)
		matches func(error) bool
	}{
		"unknown team": {
			func(j *wire.Job) { j.Team = "z" },
			func(err error) bool { var e *UnknownTeamError; return errors.As(err, &e) && e.Team == "z" },
		},
		"no machine type": {
			func(j *wire.Job) { j.CPUs = 9 },
			func(err error) bool { return errors.Is(err, ErrNoMachineType) },
		},
		"spread in one zone": {
			func(j *wire.Job) { j.Shape, j.Spread, j.Zone = wire.Gang, true, &zone },
			func(err error) bool { return errors.Is(err, ErrSpreadInOneZone) },
		},
		"over the limit": {
			func(j *wire.Job) { j.Shape, j.Tasks = wire.Gang, 17 },
			func(err error) bool { var e *OverLimitError; return errors.As(err, &e) && e.Team == "a" },
		},
		"admitted": {func(*wire.Job) {}, func(err error) bool { return err == nil }},
	} {
		t.Run(name, func(t *testing.T) {
			j := spec("j-1", "a", wire.Normal, 2, 1)
			test.change(&j)
			if err := Admit(b.settings, catalog, &j); !test.matches(err) {
				t.Errorf("the error is %v", err)
			}
		})
	}
}
