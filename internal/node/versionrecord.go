package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"savoryweir/internal/coordination/restore"
	"savoryweir/internal/node/reconciler"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/streams"
)

// The store keeps the versions that have served lately, since callers take up streams also
// after all instances were lost. The holder of the lease writes the record.
const (
	kindSoftwareVersions object.Kind = "savoryweir-software-versions"
	nameSoftwareVersions object.Name = "main"
	// versionRecordInterval is the interval at which the holder compares the record with what
	// serves.
	versionRecordInterval = 200 * time.Millisecond
)

// versionRecord is the stored form of the versions that have served lately. One from before the store came back from a copy lacks what
// came since the copy was made, and one of a writer that didn't know the past lacks what served before.
type versionRecord struct {
	Served    []recordedVersion `json:"served"`
	Era       object.Era        `json:"era,omitempty"`        // of the store, as the writer knew it
	KnowsPast bool              `json:"knows_past,omitempty"` // the writer knew all versions that have served within the retention
}

type recordedVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// NewSince is when a version came that joined others of its service, in Unix milliseconds.
	NewSince int64 `json:"new_since,omitempty"`
}

// servedPast are the versions that have served lately, as known at one time.
type servedPast struct {
	served    []streams.Origin
	newSince  map[streams.Origin]time.Time // of those that joined others of their service
	era       object.Era                   // of the store
	knowsPast bool                         // no other version has served within the retention
}

func encodeVersionRecord(p servedPast) ([]byte, error) {
	record := versionRecord{Served: []recordedVersion{}, Era: p.era, KnowsPast: p.knowsPast}
	for _, o := range p.served {
		v := recordedVersion{Service: o.Service, Version: o.Version}
		if since, ok := p.newSince[o]; ok {
			v.NewSince = since.UnixMilli()
		}
		record.Served = append(record.Served, v)
	}
	return json.Marshal(record)
}

func decodeVersionRecord(data []byte) (servedPast, error) {
	var record versionRecord
	err := json.Unmarshal(data, &record)
	p := servedPast{newSince: make(map[streams.Origin]time.Time), era: record.Era, knowsPast: record.KnowsPast}
	for _, v := range record.Served {
		o := streams.Origin{Service: v.Service, Version: v.Version}
		p.served = append(p.served, o)
		if v.NewSince > 0 {
			p.newSince[o] = time.UnixMilli(v.NewSince)
		}
	}
	return p, err
}

// decodeVersionRecords returns what the records in the store tell, complete if they are of the store's present era. In its first era the
// store has lost nothing, so that even no record tells the past.
func decodeVersionRecords(objects []object.Object, era object.Era) (past servedPast, copied restore.Copy, err error) {
	past = servedPast{newSince: make(map[streams.Origin]time.Time), era: era, knowsPast: era == 0}
	for _, o := range objects {
		p, err := decodeVersionRecord(o.Data)
		if err != nil {
			return servedPast{}, restore.Copy{}, err
		}
		past.served = append(past.served, p.served...)
		maps.Copy(past.newSince, p.newSince)
		past.knowsPast = past.knowsPast || p.knowsPast && p.era == era
		copied.HasRecord, copied.RecordEra, copied.KnowsPast = true, p.era, p.knowsPast
	}
	return past, copied, nil
}

// keepVersionRecord reads the record at the start, and again if the past is lost as the store comes back from a copy. It writes the
// record while this instance holds the lease and the versions that have served lately differ from it.
func (n *Node) keepVersionRecord(ctx context.Context) {
	readIn := n.store.Era()
	n.readVersionRecord(ctx)
	var last versionWrite
	for pause.For(ctx, versionRecordInterval) {
		if past := n.streams.past(); !past.knowsPast && past.era != readIn {
			readIn = past.era
			n.readVersionRecord(ctx)
		}
		if !n.leaseManager.HoldsLease() {
			last = versionWrite{}
			continue
		}
		past := n.streams.past()
		if len(past.served) == 0 || last.holds(past) {
			continue
		}
		if err := n.writeVersionRecord(ctx, past); err != nil {
			n.log.Info().Err(err).Str("event", "versions.failed").Msg("failed to write the software versions that serve; the write will be repeated")
			pause.For(ctx, n.storeRetryDelay())
			continue
		}
		last = versionWrite{past}
	}
}

// versionWrite is the latest write of the record by a holder of the lease, with the era of the store before the write.
type versionWrite struct{ servedPast }

// holds reports whether the record still tells this. In a later era the store may have lost it, even if the holder has the lease again
// before it notices that it had given it up.
func (w versionWrite) holds(p servedPast) bool {
	return w.served != nil && w.era == p.era && w.knowsPast == p.knowsPast && slices.Equal(p.served, w.served)
}

// readVersionRecord reads the versions that served before this instance started. It repeats the
// call until the store answers. A read that may be stale could lack a version that has gone since.
func (n *Node) readVersionRecord(ctx context.Context) {
	for ctx.Err() == nil {
		past, err := n.readPast(ctx)
		if err == nil {
			n.streams.learnRecorded(past)
			return
		}
		n.log.Info().Err(err).Str("event", "versions.failed").Msg("failed to read the software versions that served before; the call will be repeated")
		pause.For(ctx, n.storeRetryDelay())
	}
}

// readPast returns what the store tells of the versions that served before this instance started. The record of streams may name one
// that nobody could write into the record of versions.
func (n *Node) readPast(ctx context.Context) (servedPast, error) {
	if _, err := n.streamRecorder.read(ctx); err != nil {
		return servedPast{}, err
	}
	objects, version, err := n.store.ListAt(ctx, kindSoftwareVersions)
	if err != nil {
		return servedPast{}, err
	}
	past, copied, err := decodeVersionRecords(objects, version.Era())
	if err != nil {
		n.log.Error().Err(err).Str("event", "versions.failed").Msg("failed to decode the software versions that served before; unknown streams are refused for a time")
		return servedPast{}, nil
	}
	if past.knowsPast {
		return past, nil
	}
	lease, err := reconciler.ReadLease(ctx, n.store)
	if err != nil {
		return servedPast{}, err
	}
	var renewedAt int64
	copied.HasLease, copied.LeaseEra, renewedAt = lease.InCopy(past.era)
	copied.LeaseRenewedAt = time.UnixMilli(renewedAt)
	past.knowsPast = copied.TellsPast(time.Now(), n.settings.Streams.NewVersionDelay)
	return past, nil
}

// writeVersionRecord writes the record unless the store has it already.
func (n *Node) writeVersionRecord(ctx context.Context, past servedPast) error {
	data, err := encodeVersionRecord(past)
	if err != nil {
		return err
	}
	found, err := n.store.Get(ctx, kindSoftwareVersions, nameSoftwareVersions)
	switch {
	case errors.Is(err, object.ErrNotFound):
		_, err = n.store.Create(ctx, kindSoftwareVersions, nameSoftwareVersions, data)
	case err == nil && bytes.Equal(found.Data, data):
		return nil
	case err == nil:
		_, err = n.store.Update(ctx, kindSoftwareVersions, nameSoftwareVersions, data, found.Version)
	}
	if err == nil {
		n.log.Info().Str("event", "versions.recorded").Interface("served", past.served).Uint64("era", uint64(past.era)).Bool("knows_past", past.knowsPast).Msg("software versions that serve recorded")
	}
	return err
}

// past returns the versions of all services that have served lately.
func (s *streamOrigins) past() servedPast {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	return servedPast{served: s.tracker.Served(now), newSince: s.tracker.NewSince(), era: s.continuity.Era(), knowsPast: s.tracker.KnowsPast(now)}
}

// learnRecorded records the versions that served before the start of this instance, as read from the store.
func (s *streamOrigins) learnRecorded(p servedPast) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observeEra(now)
	s.tracker.LearnRecorded(now, p.served, p.newSince)
	switch {
	case p.knowsPast && p.era == s.continuity.Era():
		s.tracker.LearnPast(now, p.served)
		s.logPast(now, "record")
	case !s.tracker.KnowsPast(now) && s.tracker.PastUnknownFor(now) == 0:
		s.tracker.LosePast(now)
		s.logPast(now, "record")
	}
}

// learnPast records the versions that have served lately, as another instance tells that knows them all.
func (s *streamOrigins) learnPast(p servedPast) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observeEra(now)
	if p.era == s.continuity.Era() && !s.tracker.KnowsPast(now) {
		s.tracker.LearnPast(now, p.served)
		s.logPast(now, "instance")
	}
}
