package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

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

// versionRecord is the stored form of the versions that have served lately.
type versionRecord struct {
	Served []recordedVersion `json:"served"`
}

type recordedVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

func encodeVersionRecord(served []streams.Origin) ([]byte, error) {
	record := versionRecord{Served: []recordedVersion{}}
	for _, o := range served {
		record.Served = append(record.Served, recordedVersion(o))
	}
	return json.Marshal(record)
}

func decodeVersionRecord(data []byte) ([]streams.Origin, error) {
	var record versionRecord
	err := json.Unmarshal(data, &record)
	var served []streams.Origin
	for _, v := range record.Served {
		served = append(served, streams.Origin(v))
	}
	return served, err
}

// keepVersionRecord reads the record once, and writes it while this instance holds the lease and
// the versions that have served lately differ from it.
func (n *Node) keepVersionRecord(ctx context.Context) {
	n.readVersionRecord(ctx)
	var last versionWrite
	for pause.For(ctx, versionRecordInterval) {
		if !n.leaseManager.HoldsLease() {
			last = versionWrite{}
			continue
		}
		served, era := n.streams.served(), n.store.Era()
		if len(served) == 0 || last.holds(served, era) {
			continue
		}
		if err := n.writeVersionRecord(ctx, served); err != nil {
			n.log.Info().Err(err).Str("event", "versions.failed").Msg("failed to write the software versions that serve; the write will be repeated")
			pause.For(ctx, n.storeRetryDelay())
			continue
		}
		last = versionWrite{served: served, era: era}
	}
}

// versionWrite is the latest write of the record by a holder of the lease.
type versionWrite struct {
	served []streams.Origin // nil if there was none
	era    object.Era       // of the store, before the write
}

// holds reports whether the record still has these versions. In a later era the store may have lost it, even if the holder has
// the lease again before it notices that it had given it up.
func (w versionWrite) holds(served []streams.Origin, era object.Era) bool {
	return w.served != nil && w.era == era && slices.Equal(served, w.served)
}

// readVersionRecord reads the versions that served before this instance started. It repeats the
// call until the store answers. A read that may be stale could lack a version that has gone since.
func (n *Node) readVersionRecord(ctx context.Context) {
	for ctx.Err() == nil {
		objects, _, err := n.store.ListAt(ctx, kindSoftwareVersions)
		if err == nil {
			n.learnVersionRecord(objects)
			return
		}
		n.log.Info().Err(err).Str("event", "versions.failed").Msg("failed to read the software versions that served before; the call will be repeated")
		pause.For(ctx, n.storeRetryDelay())
	}
}

func (n *Node) learnVersionRecord(objects []object.Object) {
	var served []streams.Origin
	for _, o := range objects {
		versions, err := decodeVersionRecord(o.Data)
		if err != nil {
			n.log.Error().Err(err).Str("event", "versions.failed").Msg("failed to decode the software versions that served before; unknown streams are refused for a time")
			return
		}
		served = append(served, versions...)
	}
	n.streams.learnPast(served)
}

// writeVersionRecord writes the record unless the store has it already.
func (n *Node) writeVersionRecord(ctx context.Context, served []streams.Origin) error {
	data, err := encodeVersionRecord(served)
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
		n.log.Info().Str("event", "versions.recorded").Interface("served", served).Msg("software versions that serve recorded")
	}
	return err
}

// served returns the versions of all services that have served lately.
func (s *streamOrigins) served() []streams.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	return s.tracker.Served(now)
}

// learnPast records the versions that served before the start of this instance.
func (s *streamOrigins) learnPast(served []streams.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.LearnPast(time.Now(), served)
}
