package main

import (
	"bytes"
	"net/http"
	"time"

	"dalefront/wire"
)

// damagedList is the beginning of MessagePack lists, one in the other, each of which announces 4,294,967,295 elements. The
// elements are missing.
var damagedList = bytes.Repeat([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}, 8)

// runMalformed submits a job whose encoded list of machine types is damaged, while another job runs. The submission is
// malformed, so that it must get 400, and no controller may end by itself.
func runMalformed(w *world) (held bool, err error) {
	running := newJob(1, wire.Array, 2, 8)
	running.EstimateS = 300
	if err := w.submit(running); err != nil {
		return false, err
	}
	if !w.awaitStart(running.ID, 30*time.Second) {
		return false, errNotRunning
	}
	second := newJob(2, wire.Array, 1, 1)
	second.Types = []string{"depotrack"}
	w.site.Fleet.Upload(second)
	body, err := wire.Marshal(second)
	if err != nil {
		return false, err
	}
	want := http.StatusCreated
	if w.trouble {
		list, err := wire.Marshal(second.Types)
		if err != nil {
			return false, err
		}
		at := bytes.Index(body, list)
		body = append(body[:at:at], damagedList...) // the rest of the body is missing
		want = http.StatusBadRequest
	}
	w.log.addf("user: submits %s in %d bytes: % x", second.ID, len(body), body)
	code := w.submitBody(body)
	ends := w.ends.Load()
	w.log.addf("user: the last answer to the submission is %d, expected %d", code, want)
	w.log.addf("platform: controllers have ended by themselves %d times", ends)
	w.status(running.ID)
	w.log.addf("workers: tasks started %d, lost %d", w.site.Fleet.Summary().Started, w.site.Fleet.Summary().Lost)
	return ends == 0 && code == want, nil
}
