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

// siteStore stores the data of a site that must survive a restart of the site: the keys, leases and revision
// of the state service, and the jobs with their progress. The machines are not stored. They are lost when the
// site ends, and the controllers detect the loss.
//
// A change is in the file before any response reveals the change, so a site may be killed at any time. The
// file is synced only once a second: after a crash of the operating system, the last second of changes may be
// missing or the file may be unreadable.
type siteStore struct{ db *bbolt.DB }

// storeFormat is the version of the file format.
const storeFormat = 1

var (
	bucketSite   = []byte("site")
	bucketKeys   = []byte("keys")
	bucketLeases = []byte("holds")
	bucketJobs   = []byte("jobs")

	fieldFormat            = []byte("format")
	fieldRevision          = []byte("revision")
	fieldLease             = []byte("lease")
	fieldLastMachineNumber = []byte("rented")
)

// openSiteStore opens the data file of a site. It creates the file if there is none.
func openSiteStore(path string) (*siteStore, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, NoSync: true, NoFreelistSync: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another site uses it", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, bucket := range [][]byte{bucketSite, bucketKeys, bucketLeases, bucketJobs} {
			if _, err := tx.CreateBucketIfNotExists(bucket); err != nil {
				return err
			}
		}
		b := tx.Bucket(bucketSite)
		switch format := decodeUint64(b.Get(fieldFormat)); format {
		case 0:
			return b.Put(fieldFormat, encodeUint64(storeFormat))
		case storeFormat:
			return nil
		default:
			return fmt.Errorf("unsupported format version %d, expected %d", format, storeFormat)
		}
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return &siteStore{db}, nil
}

// close syncs and closes the file. On a nil store it does nothing.
func (s *siteStore) close() error {
	if s == nil {
		return nil
	}
	return errors.Join(s.db.Sync(), s.db.Close())
}

// encodeUint64 returns the stored form of a number: 8 bytes, big-endian.
func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// decodeUint64 returns the number stored by encodeUint64, or 0 if b is not 8 bytes long, as for a missing entry.
func decodeUint64(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// write commits the changes that the function f makes, in one transaction. It panics on an error, because the
// site must not acknowledge changes that are not stored. On a nil store it does nothing.
func (s *siteStore) write(f func(tx *bbolt.Tx) error) {
	if s == nil {
		return
	}
	if err := s.db.Update(f); err != nil {
		panic(fmt.Sprintf("%s: %v", s.db.Path(), err))
	}
}

// put encodes the value v and stores it in a bucket under the given key.
func put(tx *bbolt.Tx, bucket, key []byte, v any) error {
	b, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put(key, b)
}

// attachStore loads the stored data of the state service and makes flush store all later changes. Every lease
// is renewed for its full TTL, as after an outage.
func (s *Services) attachStore(store *siteStore) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store = store
	return store.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketSite)
		s.revision, s.lastLease = decodeUint64(b.Get(fieldRevision)), decodeUint64(b.Get(fieldLease))
		s.compactedRevision = s.revision
		err := tx.Bucket(bucketLeases).ForEach(func(id, ttl []byte) error {
			n := decodeUint64(id)
			s.ttl[n] = time.Duration(decodeUint64(ttl))
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

// flush stores the changes since the previous flush. The caller must hold s.mu.
func (s *Services) flush() {
	defer func() { s.dirty, s.dirtyLeases = s.dirty[:0], s.dirtyLeases[:0] }()
	if len(s.dirty) == 0 && len(s.dirtyLeases) == 0 {
		return
	}
	s.store.write(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketSite)
		err := errors.Join(b.Put(fieldRevision, encodeUint64(s.revision)), b.Put(fieldLease, encodeUint64(s.lastLease)))
		for _, key := range s.dirty {
			if e, ok := s.keys[key]; ok {
				err = errors.Join(err, put(tx, bucketKeys, []byte(key), e))
			} else {
				err = errors.Join(err, tx.Bucket(bucketKeys).Delete([]byte(key)))
			}
		}
		for _, id := range s.dirtyLeases {
			if ttl, ok := s.ttl[id]; ok {
				err = errors.Join(err, tx.Bucket(bucketLeases).Put(encodeUint64(id), encodeUint64(uint64(ttl))))
			} else {
				err = errors.Join(err, tx.Bucket(bucketLeases).Delete(encodeUint64(id)))
			}
		}
		return err
	})
}

// storedJob is the stored form of a job.
type storedJob struct {
	Job       wire.Job
	Length    []Micros
	Saved     []Micros
	Completed []bool
	Final     string
	Accepted  bool
}

// attachStore loads the stored jobs and makes flush store all later changes of jobs. It also loads the last
// machine number, so that new machines get IDs that have never been used before.
func (f *Fleet) attachStore(store *siteStore) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store = store
	return store.db.View(func(tx *bbolt.Tx) error {
		f.lastMachineNumber = int(decodeUint64(tx.Bucket(bucketSite).Get(fieldLastMachineNumber)))
		return tx.Bucket(bucketJobs).ForEach(func(id, b []byte) error {
			var x storedJob
			if err := wire.Unmarshal(b, &x); err != nil {
				return fmt.Errorf("job %s: %w", id, err)
			}
			j := &job{Job: x.Job, runTime: x.Length, savedProgress: x.Saved, completed: x.Completed, finalStatus: x.Final, accepted: x.Accepted}
			f.addJob(j)
			return nil
		})
	})
}

// markDirty marks a job as changed, so that the next flush stores the job.
func (f *Fleet) markDirty(j *job) {
	if f.store != nil && !j.dirty {
		j.dirty = true
		f.dirtyJobs = append(f.dirtyJobs, j)
	}
}

// flush stores the changed jobs. It must be called before a heartbeat can reveal the changes. The caller must
// hold f.mu.
func (f *Fleet) flush() {
	if f.store == nil || len(f.dirtyJobs) == 0 {
		return
	}
	f.store.write(func(tx *bbolt.Tx) (err error) {
		for _, j := range f.dirtyJobs {
			err = errors.Join(err, put(tx, bucketJobs, []byte(j.ID), storedJob{j.Job, j.runTime, j.savedProgress, j.completed, j.finalStatus, j.accepted}))
		}
		return err
	})
	for _, j := range f.dirtyJobs {
		j.dirty = false
	}
	f.dirtyJobs = f.dirtyJobs[:0]
}

// nextMachineID returns a machine ID that has never been used before. The caller must hold f.mu.
func (f *Fleet) nextMachineID() string {
	f.lastMachineNumber++
	f.store.write(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketSite).Put(fieldLastMachineNumber, encodeUint64(uint64(f.lastMachineNumber)))
	})
	return fmt.Sprintf("n-%06d", f.lastMachineNumber)
}
