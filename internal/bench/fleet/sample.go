package fleet

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// clockTick is the unit of the processor times that the kernel reports.
const clockTick = 10 * time.Millisecond

// Places in /proc/PID/stat after the command's name, and in /proc/PID/statm.
const (
	statUserTime   = 11
	statSystemTime = 12
	statmResident  = 1
)

// Sample is what one process has cost so far.
type Sample struct {
	CPU           time.Duration
	ResidentBytes float64
	PeerBytes     float64 // sent and received
}

// Cost is the mean cost of one process during an interval.
type Cost struct {
	CoreShare      float64 // of one core
	ResidentBytes  float64
	BytesPerSecond float64 // sent to peers; each byte is received once elsewhere
}

// sample reads the present cost of a process.
func (p *Process) sample() (Sample, error) {
	pid := p.PID()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Sample{}, err
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	times, err := parseFields(afterName, statUserTime, statSystemTime)
	if err != nil {
		return Sample{}, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Sample{}, err
	}
	pages, err := parseFields(string(statm), statmResident)
	if err != nil {
		return Sample{}, err
	}
	sent, err := p.readMetric("savoryweir_control_peer_sent_bytes_total")
	if err != nil {
		return Sample{}, err
	}
	return Sample{
		CPU:           time.Duration(times[0]+times[1]) * clockTick,
		ResidentBytes: pages[0] * float64(os.Getpagesize()),
		PeerBytes:     sent,
	}, nil
}

func (f *Fleet) samples() ([]Sample, error) {
	var all []Sample
	for _, p := range f.Processes {
		s, err := p.sample()
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// Measure runs work for an interval and returns the mean cost of a process.
func (f *Fleet) Measure(interval time.Duration, work func()) (Cost, error) {
	before, err := f.samples()
	if err != nil {
		return Cost{}, err
	}
	start := time.Now()
	work()
	time.Sleep(interval - time.Since(start))
	elapsed := time.Since(start).Seconds()
	after, err := f.samples()
	if err != nil {
		return Cost{}, err
	}
	var cost Cost
	count := float64(len(after))
	for i := range after {
		cost.CoreShare += (after[i].CPU - before[i].CPU).Seconds() / elapsed / count
		cost.BytesPerSecond += (after[i].PeerBytes - before[i].PeerBytes) / elapsed / count
		cost.ResidentBytes += after[i].ResidentBytes / count
	}
	return cost, nil
}

func findMetric(r io.Reader, name string) (float64, error) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), name+" ") {
			values, err := parseFields(scanner.Text(), 1)
			if err != nil {
				return 0, err
			}
			return values[0], nil
		}
	}
	return 0, fmt.Errorf("metric %s not found", name)
}
