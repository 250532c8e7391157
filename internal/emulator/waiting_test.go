package emulator

import (
	"testing"

	"dalefront/wire"
)

// A job that waits beside a machine with room is found after 90 s, and only then: not while its
// machine is full, while a task of it is there, or when there was trouble in between.
func TestLeftWaitingIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(s *stage, second int)
		want []string
	}{
		"left waiting": {func(*stage, int) {}, []string{"left waiting"}},
		"begun":        {func(s *stage, _ int) { s.order(0, wire.Launch, "j-1/0", 1, 0) }, nil},
		"no room": {func(s *stage, second int) {
			if second == 50 {
				s.machines[s.ids[0]].hung = s.now + 5_000_000
			}
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			j := sample("j-1", wire.Service, 1)
			s := newStage(t, 1, j)
			for second := range 100 {
				c.do(s, second)
				s.pass(1)
				s.Waits([]string{"j-1"})
			}
			s.rules(c.want...)
		})
	}
	s := newStage(t, 1, sample("j-1", wire.Array, 1))
	for range 60 {
		s.pass(1)
		s.Waits([]string{"j-1"})
	}
	s.pass(40) // nobody looks in times of trouble
	for range 60 {
		s.pass(1)
		s.Waits([]string{"j-1"})
	}
	s.rules()
}
