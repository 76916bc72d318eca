package claims

import (
	"context"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
)

// finishTask is a result that is sent to the owner until it is durable.
type finishTask struct {
	finish  journal.Finish
	expires time.Time     // end of the key's lifetime
	done    chan struct{} // closed when the result is durable or given up
	saved   bool          // set before done is closed
}

// finishWorkers is how many results are sent at the same time.
const finishWorkers = 16

// finishBackoff spaces the attempts at one result.
var finishBackoff = claims.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}

// Finish implements the Orders service for the local entry.
func (s *Service) Finish(ctx context.Context, request *pb.FinishRequest) (*pb.FinishResponse, error) {
	s.observe(request.GetTime())
	response := s.finishLocal(ctx, request)
	response.Time = s.stamp()
	return response, nil
}

// finishLocal queues a result of the local entry and waits for it to be
// durable. When the wait ends earlier the result stays queued.
func (s *Service) finishLocal(ctx context.Context, request *pb.FinishRequest) *pb.FinishResponse {
	task, ok := s.newFinishTask(request)
	if !ok {
		return s.notRecorded(refusalRequest)
	}
	if !s.finishing.Offer(task) {
		return s.notRecorded(refusalOverload)
	}
	select {
	case <-task.done:
	case <-ctx.Done():
		return s.notRecorded(refusalTimeout)
	case <-s.runContext().Done():
		return s.notRecorded(refusalTimeout)
	}
	if !task.saved {
		return s.notRecorded(refusalStore)
	}
	s.metrics.finishes.WithLabelValues(request.GetResult().GetOutcome().String()).Inc()
	return &pb.FinishResponse{Recorded: true}
}

// newFinishTask reads a result of the local entry. It is false when the request
// is malformed: a claim that was given up needs its fingerprint.
func (s *Service) newFinishTask(request *pb.FinishRequest) (*finishTask, bool) {
	token, tokenOK := ordermsg.TokenFromWire(request.GetToken())
	fingerprint, fingerprintOK := ordermsg.FingerprintFromWire(request.GetFingerprint())
	result := ordermsg.ResultFromWire(request.GetResult())
	return &finishTask{
		expires: time.Now().Add(s.settings.KeyLifetime),
		done:    make(chan struct{}),
		finish: journal.Finish{
			Key:         journal.HashKey(bundle.ServiceName(request.GetService()), order.Key(request.GetKey())),
			Token:       token,
			Fingerprint: fingerprint,
			Claimant:    s.claimant(),
			Result:      s.shorten(result),
		},
	}, tokenOK && (fingerprintOK || result.Outcome != order.OutcomeNotRun)
}

// shorten replaces a body that the journal does not keep by its hash.
func (s *Service) shorten(r order.Result) order.Result {
	stored := journal.NewResult(r, s.settings.MaxBodyBytes)
	r.Body = stored.Body
	r.BodyHash = stored.BodyHash
	r.BodyOmitted = len(stored.BodyHash) > 0
	return r
}

func (s *Service) notRecorded(why refusal) *pb.FinishResponse {
	return &pb.FinishResponse{
		RetryAfterMillis: s.random.retryAfter(s.settings.RetrySpread).Milliseconds(),
		Reason:           string(why),
	}
}

// finishDuty sends queued results, one after another.
func (s *Service) finishDuty(ctx context.Context) {
	for {
		task, err := s.finishing.Get(ctx)
		if err != nil {
			return
		}
		s.finishTask(ctx, task)
	}
}

// finishTask tries until the result is durable, its key has expired or ctx ends.
func (s *Service) finishTask(ctx context.Context, task *finishTask) {
	defer close(task.done)
	for attempt := 0; ctx.Err() == nil && time.Now().Before(task.expires); attempt++ {
		if s.finishAtOwner(ctx, task.finish) {
			task.saved = true
			s.holds.end(task.finish.Token)
			s.record(timeline.KindOrderFinished, task.finish.Key, "")
			return
		}
		pause.For(ctx, s.random.backoff(finishBackoff, attempt))
	}
}

// serveFinish records a result as the owner of its shard.
func (s *Service) serveFinish(ctx context.Context, finish journal.Finish) *pb.FinishResponse {
	op := newOperation(ctx, time.Now())
	op.finish = &finish
	r := s.submit(finish.Key.Shard(s.settings.Shards), op)
	if r.refusal != refusalNone {
		return s.notRecorded(r.refusal)
	}
	return &pb.FinishResponse{Recorded: true}
}
