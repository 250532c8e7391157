package horizon

// For is what to tell another controller, whose process was last heard as born.
func (b *Book) For(label string, now Micros) *Shared {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &Shared{Base: b.base, From: b.base, Last: b.base + len(b.log)}
	if o := b.others[label]; o != nil {
		s.Born, s.Holds = o.born, o.has
		s.From = min(max(b.base, o.acked), s.Last)
	}
	for _, e := range b.log[s.From-b.base:] {
		if len(s.IDs) == most {
			break
		}
		s.IDs = append(s.IDs, e.id)
		s.Ages = append(s.Ages, max(0, now-e.at))
	}
	s.Sound, s.Taught = b.sound(), b.taught
	if s.Sound || s.Taught {
		s.Read = max(0, now-b.read)
	}
	return s
}

// Take takes what another controller's process tells, and returns the cancellations that
// are new here. A message may be late, or from an ended process: only what it names counts.
func (b *Book) Take(label string, born uint64, s *Shared, now Micros) (news []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	news, _ = b.take(label, born, s, now)
	return news
}

// Answered takes the answer to a question that was asked at a moment under this process's
// name: what it acknowledges, and whether it completes what this controller knows.
func (b *Book) Answered(label string, own, born uint64, s *Shared, asked, now Micros) (news []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.others[label]
	if o == nil {
		return nil
	}
	news, whole := b.take(label, born, s, now)
	o.acked, o.at = 0, asked
	if s.Born == own {
		o.acked = min(s.Holds, b.base+len(b.log))
	}
	b.settleHeld(now)
	if whole && (s.Sound || s.Taught) {
		// It knew all that existed so long before it answered, and so before it was asked.
		b.reads(asked - s.Read)
		b.taught = b.taught || b.born != 0 && asked >= b.born+fresh+fresh/10 // clocks drift
		if s.Sound {
			o.asked = max(o.asked, asked)
		}
	}
	return news
}

func (b *Book) take(label string, born uint64, s *Shared, now Micros) (news []string, whole bool) {
	o := b.others[label]
	if o == nil || born == 0 || len(s.IDs) != len(s.Ages) || len(s.IDs) > most || s.From < 0 {
		return nil, false
	}
	if o.born != born {
		*o = other{born: born, acked: o.acked, at: o.at}
	}
	if s.From > o.has && s.From != s.Base {
		return nil, false // something between is missing: it is sent again
	}
	for i, id := range s.IDs {
		known := b.by[id] != nil
		age := max(0, s.Ages[i])
		if !known && age <= b.rules.Keep && !b.note(id, now-age, now) {
			return news, false
		}
		if !known && age <= b.rules.Keep {
			news = append(news, id)
		}
		o.has = max(o.has, s.From+i+1)
	}
	o.has = max(o.has, s.From)
	return news, o.has >= s.Last
}

// settleHeld marks what every controller holds.
func (b *Book) settleHeld(now Micros) {
	least := b.base + len(b.log)
	for _, o := range b.others {
		if now-o.at > fresh {
			return
		}
		least = min(least, o.acked)
	}
	for ; b.held < least; b.held++ {
		if b.held >= b.base {
			b.log[b.held-b.base].settled = true
		}
	}
	close(b.changed)
	b.changed = make(chan struct{})
}
