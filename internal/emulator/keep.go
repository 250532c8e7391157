package emulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"dalefront/wire"
)

// keeper keeps what a site must not forget over a restart: the state service's keys,
// leases and revision, and what users and workers know of jobs. The machines are not
// kept: they are lost with the site, and the controllers find that out.
//
// A change is in the file before anybody is told of it, so that a site may be killed at
// any moment. The file is forced to the disk once a second only: when the computer
// itself fails, the last second may be missing or the file be refused.
type keeper struct{ db *bbolt.DB }

// keepFormat is the version of the file.
const keepFormat = 1

var (
	bucketSite  = []byte("site")
	bucketKeys  = []byte("keys")
	bucketHolds = []byte("holds")
	bucketJobs  = []byte("jobs")

	fieldFormat   = []byte("format")
	fieldRevision = []byte("revision")
	fieldLease    = []byte("lease")
	fieldRented   = []byte("rented")
)

// openKeeper opens or makes a site's file.
func openKeeper(path string) (*keeper, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, NoSync: true, NoFreelistSync: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another site uses it", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketSite, bucketKeys, bucketHolds, bucketJobs} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		b := tx.Bucket(bucketSite)
		switch f := number(b.Get(fieldFormat)); f {
		case 0:
			return b.Put(fieldFormat, text(keepFormat))
		case keepFormat:
			return nil
		default:
			return fmt.Errorf("its format is %d, this program knows %d", f, keepFormat)
		}
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return &keeper{db}, nil
}

func (k *keeper) close() error {
	if k == nil {
		return nil
	}
	return errors.Join(k.db.Sync(), k.db.Close())
}

func text(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func number(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// write carries out what f writes, whole or not at all. A stand-in that can't keep what
// it promises must not go on.
func (k *keeper) write(f func(tx *bbolt.Tx) error) {
	if k == nil {
		return
	}
	if err := k.db.Update(f); err != nil {
		panic(fmt.Sprintf("%s: %v", k.db.Path(), err))
	}
}

// put stores a value under a key of a bucket.
func put(tx *bbolt.Tx, bucket, key []byte, v any) error {
	b, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put(key, b)
}

// keep makes the state service keep its data, and takes up what is there. Leases have
// their full time again, as after an outage.
func (s *Services) keep(k *keeper) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = k
	return k.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketSite)
		s.revision, s.lease = number(b.Get(fieldRevision)), number(b.Get(fieldLease))
		s.forgot = s.revision
		err := tx.Bucket(bucketHolds).ForEach(func(id, ttl []byte) error {
			n := number(id)
			s.ttl[n] = time.Duration(number(ttl))
			s.leases[n] = time.Now().Add(s.ttl[n])
			return nil
		})
		return errors.Join(err, tx.Bucket(bucketKeys).ForEach(func(key, b []byte) error {
			var e wire.KeyValue
			err := wire.Unmarshal(b, &e)
			s.keys[string(key)] = e
			return err
		}))
	})
}

// flush writes what has changed since the last one. The lock is held.
func (s *Services) flush() {
	defer func() { s.dirty, s.dirtyLeases = s.dirty[:0], s.dirtyLeases[:0] }()
	if len(s.dirty) == 0 && len(s.dirtyLeases) == 0 {
		return
	}
	s.kept.write(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketSite)
		err := errors.Join(b.Put(fieldRevision, text(s.revision)), b.Put(fieldLease, text(s.lease)))
		for _, key := range s.dirty {
			if e, ok := s.keys[key]; ok {
				err = errors.Join(err, put(tx, bucketKeys, []byte(key), e))
			} else {
				err = errors.Join(err, tx.Bucket(bucketKeys).Delete([]byte(key)))
			}
		}
		for _, id := range s.dirtyLeases {
			if ttl, ok := s.ttl[id]; ok {
				err = errors.Join(err, tx.Bucket(bucketHolds).Put(text(id), text(uint64(ttl))))
			} else {
				err = errors.Join(err, tx.Bucket(bucketHolds).Delete(text(id)))
			}
		}
		return err
	})
}

// keptJob is what users and workers know of a job.
type keptJob struct {
	Job       wire.Job
	Length    []Micros
	Saved     []Micros
	Completed []bool
	Final     string
	Accepted  bool
}

// keep makes the fleet keep its jobs, and takes up those that are there. Machines get
// names that none had before.
func (f *Fleet) keep(k *keeper) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kept = k
	return k.db.View(func(tx *bbolt.Tx) error {
		f.named = int(number(tx.Bucket(bucketSite).Get(fieldRented)))
		return tx.Bucket(bucketJobs).ForEach(func(id, b []byte) error {
			var x keptJob
			if err := wire.Unmarshal(b, &x); err != nil {
				return fmt.Errorf("job %s: %w", id, err)
			}
			j := &job{Job: x.Job, length: x.Length, saved: x.Saved, completed: x.Completed, final: x.Final, accepted: x.Accepted}
			f.know(j)
			return nil
		})
	})
}

// touch marks a job as changed.
func (f *Fleet) touch(j *job) {
	if f.kept != nil && !j.dirty {
		j.dirty = true
		f.dirty = append(f.dirty, j)
	}
}

// flush writes the jobs that have changed: before a worker's report tells of it. The
// lock is held.
func (f *Fleet) flush() {
	if f.kept == nil || len(f.dirty) == 0 {
		return
	}
	f.kept.write(func(tx *bbolt.Tx) (err error) {
		for _, j := range f.dirty {
			err = errors.Join(err, put(tx, bucketJobs, []byte(j.ID), keptJob{j.Job, j.length, j.saved, j.completed, j.final, j.accepted}))
		}
		return err
	})
	for _, j := range f.dirty {
		j.dirty = false
	}
	f.dirty = f.dirty[:0]
}

// name returns a name for a machine that none had before. The lock is held.
func (f *Fleet) name() string {
	f.named++
	f.kept.write(func(tx *bbolt.Tx) error { return tx.Bucket(bucketSite).Put(fieldRented, text(uint64(f.named))) })
	return fmt.Sprintf("n-%06d", f.named)
}
