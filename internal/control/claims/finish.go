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

// finishTask is a result that is sent to the owner of its shard until it is durable.
type finishTask struct {
	finish  journal.Finish
	expires time.Time     // end of the key's lifetime
	done    chan struct{} // closed when the result is durable or no longer retried
	durable bool          // set before done is closed
}

// finishWorkerCount is the number of results that are sent at the same time.
const finishWorkerCount = 16

// finishBackoff delays the next attempt to record a result.
var finishBackoff = claims.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}

// Finish implements the Finish method of the Orders service, which the local
// entry calls.
func (s *Service) Finish(ctx context.Context, request *pb.FinishRequest) (*pb.FinishResponse, error) {
	s.observeTime(request.GetTime())
	response := s.finishLocal(ctx, request)
	response.Time = s.timestamp()
	return response, nil
}

// finishLocal queues a result of the local entry and waits until it is durable.
// The result stays queued when ctx ends before that.
func (s *Service) finishLocal(ctx context.Context, request *pb.FinishRequest) *pb.FinishResponse {
	task, ok := s.newFinishTask(request)
	if !ok {
		return s.notRecordedResponse(refusalMalformed)
	}
	if !s.finishQueue.Offer(task) {
		return s.notRecordedResponse(refusalOverload)
	}
	select {
	case <-task.done:
	case <-ctx.Done():
		return s.notRecordedResponse(refusalTimeout)
	case <-s.runContext().Done():
		return s.notRecordedResponse(refusalTimeout)
	}
	if !task.durable {
		return s.notRecordedResponse(refusalStoreDown)
	}
	s.metrics.finishes.WithLabelValues(request.GetResult().GetOutcome().String()).Inc()
	return &pb.FinishResponse{Recorded: true}
}

// newFinishTask decodes a result of the local entry. It reports false when the
// request is malformed. The result of an order that did not run releases its
// claim and needs the claim's fingerprint.
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
			Claimant:    s.selfClaimant(),
			Result:      s.omitLongBody(result),
		},
	}, tokenOK && (fingerprintOK || result.Outcome != order.OutcomeNotRun)
}

// omitLongBody replaces a body that is too long for the journal by its hash.
func (s *Service) omitLongBody(r order.Result) order.Result {
	stored := journal.NewStoredResult(r, s.settings.MaxBodyBytes)
	r.Body = stored.Body
	r.BodyHash = stored.BodyHash
	r.BodyOmitted = len(stored.BodyHash) > 0
	return r
}

// notRecordedResponse returns a response that says that the result is not
// recorded yet, and when to retry.
func (s *Service) notRecordedResponse(reason refusal) *pb.FinishResponse {
	return &pb.FinishResponse{
		RetryAfterMillis: s.random.retryAfter(s.settings.RetrySpread).Milliseconds(),
		Reason:           string(reason),
	}
}

// runFinishWorker delivers queued results one after another until ctx ends.
func (s *Service) runFinishWorker(ctx context.Context) {
	for {
		task, err := s.finishQueue.Get(ctx)
		if err != nil {
			return
		}
		s.deliverResult(ctx, task)
	}
}

// deliverResult sends a result until it is durable, its key has expired or ctx ends.
func (s *Service) deliverResult(ctx context.Context, task *finishTask) {
	defer close(task.done)
	for attempt := 0; ctx.Err() == nil && time.Now().Before(task.expires); attempt++ {
		if s.finishAtOwner(ctx, task.finish) {
			task.durable = true
			s.holds.complete(task.finish.Token)
			s.recordEvent(timeline.KindOrderFinished, task.finish.Key, "")
			return
		}
		pause.For(ctx, s.random.backoff(finishBackoff, attempt))
	}
}

// commitFinish commits a result as the owner of its shard.
func (s *Service) commitFinish(ctx context.Context, finish journal.Finish) *pb.FinishResponse {
	op := newOperation(ctx, time.Now())
	op.finish = &finish
	r := s.submit(finish.Key.Shard(s.settings.Shards), op)
	if r.refusal != refusalNone {
		return s.notRecordedResponse(r.refusal)
	}
	return &pb.FinishResponse{Recorded: true}
}
