package node

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/platform"
)

// An instance with a fifth of a core stops while hundreds of requests that run once wait for an upstream until after the end of
// the grace period. They were cut without a response, since the time that was kept for their responses did not grow with
// their number.
func TestSlowInstanceAnswersAllRequestsBeforeEndOfGracePeriod(t *testing.T) {
	const grace, count = 8 * time.Second, 900
	const share = 0.2 // of a core
	var held atomic.Int64
	hold := make(chan struct{})
	c := startCluster(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.URL.Path, "/a/hold") {
			held.Add(1)
			select {
			case <-r.Context().Done():
			case <-hold:
			}
			return
		}
		respondSealed(w, r)
	})
	t.Cleanup(func() { close(hold) })
	c.put(t, platform.KindConfig, platform.NameConfig, `{"version":1,"routes":[{"name":"a","host":"h","pathPrefix":"/a/","kind":"unsafe","timeoutMs":90000,"targetLatencyMs":1000,"service":"s","maxAttempts":1}],`+
		`"services":[{"name":"s","healthPath":"/h","maxConns":1000}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	i, process := c.startProgram(t, grace.String())
	eventually(t, "a served request", func() bool { status, _ := i.send("/a/1"); return status == http.StatusOK })
	var group sync.WaitGroup
	var answered, cut atomic.Int64 // requests with and without a response
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var isStopping atomic.Bool
	send := func(id string) error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+i.callersAddress+"/a/hold", strings.NewReader("x"))
		assert.Check(t, err)
		r.Host = "h"
		r.Header.Set("Request-Id", id)
		r.Header.Set("Deadline-Ms", "60000")
		response, err := client.Do(r)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		return err
	}
	for n := range count {
		group.Go(func() {
			for attempt := 0; ; attempt++ {
				err := send(fmt.Sprintf("hold-%d-%d", n, attempt))
				switch {
				case t.Context().Err() != nil:
					return // the test has failed
				case !isStopping.Load(): // refused, as the connection to the upstream took too long
					time.Sleep(50 * time.Millisecond)
					continue
				case err != nil:
					cut.Add(1)
				default:
					answered.Add(1)
				}
				return
			}
		})
	}
	for end := time.Now().Add(time.Minute); held.Load() < count; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d requests at the upstream", held.Load())
	}
	isStopping.Store(true)
	assert.NilError(t, process.Signal(syscall.SIGTERM))
	for end := time.Now().Add(grace); time.Now().Before(end); {
		runSlowly(process, share, 100*time.Millisecond)
	}
	_ = process.Kill()
	group.Wait()
	assert.Equal(t, cut.Load(), int64(0), "%d of %d requests got a response", answered.Load(), count)
}

// runSlowly lets a process have a share of a core for a period. On a busy machine it runs for longer until it has had that.
func runSlowly(p *os.Process, share float64, period time.Duration) {
	usedBefore, limit := processorTime(p.Pid), time.Duration(share*float64(period))
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		signal := syscall.SIGCONT
		if processorTime(p.Pid)-usedBefore >= limit {
			signal = syscall.SIGSTOP
		}
		_ = p.Signal(signal)
	}
}

// processorTime returns the processor time that the threads of a process have used.
func processorTime(pid int) (used time.Duration) {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, name := range threads {
		data, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		nanoseconds, _, _ := strings.Cut(string(data), " ")
		if n, err := strconv.ParseInt(nanoseconds, 10, 64); err == nil {
			used += time.Duration(n)
		}
	}
	return used
}
