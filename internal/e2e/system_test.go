package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryweir/internal/bench/fleet"
	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
	"savoryweir/internal/standin/residency"
	"savoryweir/internal/standin/service"
	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
)

// patience bounds the waits for states that come at some time.
const patience = time.Minute

const (
	engineCount               = 2
	serviceCount              = 2
	engineMemory   bundle.MiB = 20_000
	modelMemory    bundle.MiB = 4_000
	loadsPerSecond            = 20
)

var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "e2e")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-o", folder+"/", "savoryweir/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	binaries = folder
	return m.Run()
}

// system is the whole deployment under test.
type system struct {
	t        *testing.T
	fleet    *fleet.Fleet
	entries  []*fleet.Entry
	services []*service.Service
	engines  []*engine.Engine
	memory   []*residency.Engine
	bundle   *bundle.Bundle
}

// startSystem starts instances with control and entry processes and waits until all models are reachable.
func startSystem(t *testing.T, instances int) *system {
	t.Helper()
	s := &system{t: t}
	s.bundle = &bundle.Bundle{
		Deployment: "fleet",
		Zones:      []bundle.Zone{"zone-0", "zone-1", "zone-2"},
		Services: []bundle.Service{
			{Name: "tagger", Kind: bundle.KindGeneration, Deadline: 30 * time.Second},
			{Name: "bookings", Kind: bundle.KindPlain, Deadline: 10 * time.Second, OrderPaths: []string{"/orders"}},
		},
		Models: []bundle.Model{
			{ID: "banner", Service: "tagger", Version: "1", Memory: modelMemory, MinReplicas: 2},
			{ID: "video", Service: "tagger", Version: "1", Memory: modelMemory, MinReplicas: 1},
		},
	}
	s.startUpstreams()
	var err error
	s.fleet, err = fleet.Start(binaries, instances, "--placement-interval=200ms")
	assert.NilError(t, err)
	t.Cleanup(s.fleet.Stop)
	s.entries, err = s.fleet.StartEntries("--shutdown-balancer-lag=200ms")
	t.Cleanup(func() {
		for _, e := range s.entries {
			_ = e.Kill() // an error means that it has ended already
		}
	})
	assert.NilError(t, err)
	assert.NilError(t, s.fleet.WaitMembers(t.Context()))
	s.approve()
	for _, e := range s.entries {
		assert.NilError(t, e.WaitReady())
	}
	s.waitReachable("banner", "video")
	return s
}

func (s *system) startUpstreams() {
	store := weights.New(weights.Limits{LoadsPerSecond: loadsPerSecond, AtOnce: 4, AdapterTime: 10 * time.Millisecond, AdaptersInTransit: 30})
	weightServer := httptest.NewServer(weights.Handler(store))
	s.t.Cleanup(weightServer.Close)
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i)
		memory := residency.New(residency.Config{Name: name, CapacityMiB: int64(engineMemory), ChecksFence: i == 0, ReportLag: 50 * time.Millisecond},
			&weights.Remote{URL: weightServer.URL, Client: weightServer.Client()}, time.Now())
		e := engine.New(engine.Settings{
			Memory: residency.Serving{Engine: memory}, MaxBatch: 32,
			StepBase: 5 * time.Millisecond, StepPerRun: 100 * time.Microsecond, CacheSize: 64, LoadLag: 100 * time.Millisecond,
		})
		ctx, cancel := context.WithCancel(context.Background())
		s.t.Cleanup(cancel)
		go e.Run(ctx)
		s.engines, s.memory = append(s.engines, e), append(s.memory, memory)
		s.addUpstream(bundle.Upstream{
			ID: bundle.UpstreamID(name), Service: "tagger", Memory: engineMemory, Accelerators: 1, Batch: 32, ChecksFence: i == 0,
		}, e.Handler())
	}
	for i := range serviceCount {
		plain := service.New()
		s.services = append(s.services, plain)
		s.addUpstream(bundle.Upstream{ID: bundle.UpstreamID(fmt.Sprintf("bookings-%d", i)), Service: "bookings"}, plain.Handler())
	}
}

func (s *system) addUpstream(u bundle.Upstream, handler http.Handler) {
	server := httptest.NewServer(handler)
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	u.Address = server.Listener.Addr().String()
	u.Zone = s.bundle.Zones[len(s.bundle.Upstreams)%len(s.bundle.Zones)]
	s.bundle.Upstreams = append(s.bundle.Upstreams, u)
}

func (s *system) approve() {
	s.t.Helper()
	_, err := s.fleet.Approve(s.t.Context(), s.bundle)
	assert.NilError(s.t, err)
}

// waitReachable waits until each entry answers for each model.
func (s *system) waitReachable(models ...string) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		for i, e := range s.entries {
			for _, model := range models {
				if a := s.chat(e, model, "warm up", 1, nil); a.status != http.StatusOK {
					return poll.Continue("entry %d, model %s: %d %s", i, model, a.status, a.body)
				}
			}
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(100*time.Millisecond))
}

// answer is what a caller got.
type answer struct {
	err     error
	status  int
	outcome string
	retry   string
	body    string

	generation string // of the bundle that the request ran under
}

// call sends one request. Headers may be nil.
func (s *system) call(e *fleet.Entry, method, path, body string, headers map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, e.URL()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.GetBody = nil // the library must not send an order again unseen
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{
		err: err, status: response.StatusCode, body: string(data),
		outcome: response.Header.Get(httpapi.HeaderOutcome), retry: response.Header.Get("Retry-After"),
		generation: response.Header.Get(httpapi.HeaderGeneration),
	}
}

// chat asks for a stream and returns all of it, or what came before the fault.
func (s *system) chat(e *fleet.Entry, model, prompt string, tokens int, headers map[string]string) answer {
	body, err := json.Marshal(chatBody{
		Model: model, Stream: true, MaxTokens: tokens, Messages: []httpapi.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return answer{err: err}
	}
	return s.call(e, http.MethodPost, "/v1/chat/completions", string(body), headers)
}

type chatBody struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Messages  []httpapi.Message `json:"messages"`
}

// order sends one order under a key. Attempt counts its sends, zero tells nothing.
func (s *system) order(e *fleet.Entry, key string, attempt int) answer {
	headers := map[string]string{httpapi.HeaderIdempotencyKey: key, httpapi.HeaderDeadline: "5000"}
	if attempt > 0 {
		headers[httpapi.HeaderAttempt] = strconv.Itoa(attempt)
	}
	return s.call(e, http.MethodPost, "/services/bookings/orders/new", `{"order":"`+key+`"}`, headers)
}

// runs returns how often each order ran, over all upstreams.
func (s *system) runs() map[string]int {
	total := make(map[string]int)
	for _, plain := range s.services {
		for _, r := range plain.AllRuns() {
			total[r.Order] += r.Runs
		}
	}
	return total
}

// text joins the tokens of a stream and tells whether its end mark came.
func text(t *testing.T, stream string) (string, bool) {
	t.Helper()
	var joined bytes.Buffer
	for _, line := range strings.Split(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return joined.String(), true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil {
			continue // the stream was cut within this line
		}
		for _, choice := range chunk.Choices {
			joined.WriteString(choice.Delta.Content)
		}
	}
	return joined.String(), false
}
