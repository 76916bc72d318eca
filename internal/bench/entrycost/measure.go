package entrycost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Sizes of the measurements.
const (
	latencySamples = 3000
	warmupSamples  = 200
	cpuStreams     = 64
	cpuTokens      = 500
	openStreams    = 1000
	fastStep       = 2 * time.Millisecond
	slowStep       = 200 * time.Millisecond
	settleTime     = 3 * time.Second
)

// Quantiles are times of requests.
type Quantiles struct{ P50, P99 time.Duration }

// Footprint is what the entry holds.
type Footprint struct {
	Goroutines float64
	HeapBytes  float64
	Resident   float64
}

// Result holds all figures.
type Result struct {
	ReadDirect, ReadEntry     Quantiles
	StreamDirect, StreamEntry Quantiles // to the first token
	CPUPerThousandTokens      time.Duration
	Before, Open, After       Footprint
}

// Run measures with the binaries of a folder.
func Run(binaries string) (Result, error) {
	var r Result
	fast, err := startDeployment(binaries, fastStep)
	defer fast.stop()
	if err != nil {
		return r, err
	}
	if err := fast.latencies(&r); err != nil {
		return r, err
	}
	if r.CPUPerThousandTokens, err = fast.cpu(); err != nil {
		return r, err
	}
	slow, err := startDeployment(binaries, slowStep)
	defer slow.stop()
	if err != nil {
		return r, err
	}
	return r, slow.footprints(&r)
}

// latencies takes direct and entry samples in turn, so that both see the same machine.
func (d *deployment) latencies(r *Result) error {
	reads, err := inTurn("http://"+d.service+"/status", "http://"+d.callers+"/services/"+plainService+"/status", read)
	if err != nil {
		return err
	}
	r.ReadDirect, r.ReadEntry = reads[0], reads[1]
	const path = "/v1/chat/completions"
	streams, err := inTurn("http://"+d.engine+path, "http://"+d.callers+path, firstToken)
	if err != nil {
		return err
	}
	r.StreamDirect, r.StreamEntry = streams[0], streams[1]
	return nil
}

func inTurn(direct, entry string, sample func(url string) (time.Duration, error)) ([2]Quantiles, error) {
	var times [2][]time.Duration
	var result [2]Quantiles
	for i := range latencySamples + warmupSamples {
		for side, url := range []string{direct, entry} {
			took, err := sample(url)
			if err != nil {
				return result, err
			}
			if i >= warmupSamples {
				times[side] = append(times[side], took)
			}
		}
	}
	for side := range times {
		slices.Sort(times[side])
		result[side] = Quantiles{P50: times[side][latencySamples/2], P99: times[side][latencySamples*99/100]}
	}
	return result, nil
}

func read(url string) (time.Duration, error) {
	start := time.Now()
	response, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return time.Since(start), err
}

func body(content string, tokens int) io.Reader {
	return strings.NewReader(fmt.Sprintf(
		`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, model, content, tokens))
}

func open(ctx context.Context, url, content string, tokens int) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body(content, tokens))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return response, nil
}

func firstToken(url string) (time.Duration, error) {
	start := time.Now()
	response, err := open(context.Background(), url, "hello", 1)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		return 0, err
	}
	took := time.Since(start)
	_, err = io.Copy(io.Discard, reader)
	return took, err
}

// cpu returns the entry's processor time for 1,000 tokens over concurrent streams.
func (d *deployment) cpu() (time.Duration, error) {
	before, err := d.entryCPU()
	if err != nil {
		return 0, err
	}
	if err := d.eachStream(cpuStreams, cpuTokens, func(r *http.Response) { _, _ = io.Copy(io.Discard, r.Body) }); err != nil {
		return 0, err
	}
	after, err := d.entryCPU()
	const thousand = 1000
	return (after - before) * thousand / (cpuStreams * cpuTokens), err
}

// eachStream opens streams at once and lets use have each of them.
func (d *deployment) eachStream(count, tokens int, use func(*http.Response)) error {
	var group sync.WaitGroup
	errs := make(chan error, count)
	for i := range count {
		group.Go(func() {
			response, err := open(context.Background(), "http://"+d.callers+"/v1/chat/completions", fmt.Sprintf("stream %d", i), tokens)
			if err != nil {
				errs <- err
				return
			}
			defer response.Body.Close()
			use(response)
		})
	}
	group.Wait()
	close(errs)
	return <-errs
}

// footprints opens all streams twice. The first round opens what stays open, such as idle connections.
func (d *deployment) footprints(r *Result) error {
	if _, err := d.openAll(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	var err error
	if r.Before, err = d.footprint(); err != nil {
		return err
	}
	if r.Open, err = d.openAll(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	r.After, err = d.footprint()
	return err
}

// openAll returns the footprint while all streams are open, and closes them.
func (d *deployment) openAll() (Footprint, error) {
	var opened, closed sync.WaitGroup
	opened.Add(openStreams)
	closed.Add(1)
	failed := make(chan error, 1)
	const tokens = 100_000
	go func() {
		failed <- d.eachStream(openStreams, tokens, func(r *http.Response) {
			_, _ = bufio.NewReader(r.Body).ReadString('\n')
			opened.Done()
			closed.Wait()
		})
	}()
	ready := make(chan struct{})
	go func() { opened.Wait(); close(ready) }()
	select {
	case <-ready:
	case err := <-failed:
		return Footprint{}, err
	case <-time.After(2 * startTimeout):
		return Footprint{}, errNotStarted
	}
	print, err := d.footprint()
	closed.Done()
	<-failed
	http.DefaultClient.CloseIdleConnections()
	return print, err
}

func (d *deployment) footprint() (Footprint, error) {
	var f Footprint
	var err error
	for name, target := range map[string]*float64{
		"go_goroutines": &f.Goroutines, "go_memstats_heap_inuse_bytes": &f.HeapBytes, "process_resident_memory_bytes": &f.Resident,
	} {
		if *target, err = d.gauge(name); err != nil {
			return f, err
		}
	}
	return f, nil
}
