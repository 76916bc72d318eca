package upstream

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

type wireOrder struct {
	OpType     string `json:"opType"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter"`
	Expect     uint64 `json:"expect"`
	Holder     string `json:"holder"`
	FenceToken uint64 `json:"fenceToken"`
}

// adapterTime is how long an adapter takes to load.
const adapterTime = 10 * time.Millisecond

func (u *Upstream) report(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "colocated", "models": u.models, "busy": u.busy, "seq": u.orders, "queued": 0, "running": u.running,
		"state": u.state(), "born": u.born.UnixMilli(), "coming": []string{}, "atHand": atHand{OnDisk: u.onDisk},
	})
}

func (u *Upstream) order(w http.ResponseWriter, r *http.Request, id string) {
	var o wireOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FenceToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Expect-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.journal.Ordered(Order{Upstream: id, Holder: o.Holder, Fence: o.FenceToken, At: time.Now()})
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.random.Float64() < u.faults.LateShare {
		time.AfterFunc(OrderDelay, func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.id == id {
				u.carryOut(o, id)
			}
		})
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(u.carryOut(o, id))
}

// carryOut begins an order and returns the status of its answer. The caller holds u.mu.
func (u *Upstream) carryOut(o wireOrder, id string) int {
	load := o.OpType == "model_load"
	switch {
	case o.Expect != u.orders || u.busy && o.Adapter == "":
		return http.StatusConflict
	case load == u.holds(o.Model, o.Adapter):
		return http.StatusOK
	case o.Adapter != "":
		return u.changeAdapter(o, load, id)
	}
	u.orders++
	u.busy = true
	if !load {
		u.models = slices.Delete(slices.Clone(u.models), u.find(o.Model), u.find(o.Model)+1)
		u.finish(id, adapterTime, func() {})
		return http.StatusAccepted
	}
	if len(u.models) >= u.config.Places {
		u.journal.Overloaded(id)
	}
	u.finish(id, u.config.LoadTime, func() {
		u.models = append(slices.Clone(u.models), resident{Name: o.Model, Version: 1})
		if !slices.Contains(u.onDisk, o.Model) {
			u.onDisk = append(slices.Clone(u.onDisk), o.Model)
		}
	})
	return http.StatusAccepted
}

// finish ends an order of this incarnation after a time. The caller holds u.mu.
func (u *Upstream) finish(id string, after time.Duration, change func()) {
	time.AfterFunc(after, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.id != id {
			return
		}
		u.busy = false
		change()
		u.register()
	})
}

func (u *Upstream) changeAdapter(o wireOrder, load bool, id string) int {
	i := u.find(o.Model)
	if i < 0 {
		return http.StatusMisdirectedRequest
	}
	u.orders++
	if !load {
		u.models = slices.Clone(u.models)
		u.models[i].Adapters = slices.DeleteFunc(slices.Clone(u.models[i].Adapters), func(a string) bool { return a == o.Adapter })
		return http.StatusOK // unloaded at once
	}
	time.AfterFunc(adapterTime, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if i := u.find(o.Model); u.id == id && i >= 0 {
			u.models = slices.Clone(u.models)
			u.models[i].Adapters = append(slices.Clone(u.models[i].Adapters), o.Adapter)
		}
	})
	return http.StatusAccepted
}
