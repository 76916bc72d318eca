package claims

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

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
	key     journal.KeyHash
	token   journal.Token
	request *pb.FinishRequest
	expires time.Time     // end of the key's lifetime
	done    chan struct{} // closed when the result is durable or given up
	saved   bool          // set before done is closed
}

// finishWorkers is how many results are sent at the same time.
const finishWorkers = 16

// finishBackoff spaces the attempts at one result.
var finishBackoff = claims.Backoff{Base: 200 * time.Millisecond, Cap: 5 * time.Second}

// Finish implements the Orders service for the local entry and for peers.
func (s *Service) Finish(ctx context.Context, request *pb.FinishRequest) (*pb.FinishResponse, error) {
	s.observe(request.GetTime())
	if request.GetForwarded() {
		return s.serveFinish(ctx, request), nil
	}
	return s.finishLocal(ctx, request), nil
}

// finishLocal queues a result of the local entry and waits for it to be
// durable. When the wait ends earlier the result stays queued.
func (s *Service) finishLocal(ctx context.Context, request *pb.FinishRequest) *pb.FinishResponse {
	token, ok := ordermsg.TokenFromWire(request.GetToken())
	if !ok {
		return s.notRecorded(refusalRequest)
	}
	task := s.newFinishTask(request, token)
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
	return &pb.FinishResponse{Time: s.stamp(), Recorded: true}
}

func (s *Service) newFinishTask(request *pb.FinishRequest, token journal.Token) *finishTask {
	stored := journal.NewResult(ordermsg.ResultFromWire(request.GetResult()), s.settings.MaxBodyBytes)
	return &finishTask{
		key:     journal.HashKey(bundle.ServiceName(request.GetService()), order.Key(request.GetKey())),
		token:   token,
		expires: time.Now().Add(s.settings.KeyLifetime),
		done:    make(chan struct{}),
		request: &pb.FinishRequest{
			Service:     request.GetService(),
			Key:         request.GetKey(),
			Token:       token[:],
			Forwarded:   true,
			Fingerprint: request.GetFingerprint(),
			Result: &pb.OrderResult{
				Outcome:     request.GetResult().GetOutcome(),
				Status:      uint32(stored.Status),
				ContentType: stored.ContentType,
				Body:        stored.Body,
				BodyOmitted: len(stored.BodyHash) > 0,
				BodyHash:    stored.BodyHash,
			},
		},
	}
}

func (s *Service) notRecorded(why refusal) *pb.FinishResponse {
	return &pb.FinishResponse{
		Time:             s.stamp(),
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
		request := proto.CloneOf(task.request)
		request.Time = s.stamp()
		if s.finishAtOwner(ctx, task.key, request) {
			task.saved = true
			s.holds.end(task.token)
			s.record(timeline.KindOrderFinished, task.key, "")
			return
		}
		pause.For(ctx, s.random.backoff(finishBackoff, attempt))
	}
}

// serveFinish records a result as the owner of its shard.
func (s *Service) serveFinish(ctx context.Context, request *pb.FinishRequest) *pb.FinishResponse {
	token, ok := ordermsg.TokenFromWire(request.GetToken())
	if !ok {
		return s.notRecorded(refusalRequest)
	}
	fingerprint, ok := ordermsg.FingerprintFromWire(request.GetFingerprint())
	result := ordermsg.ResultFromWire(request.GetResult())
	if !ok && result.Outcome == order.OutcomeNotRun {
		return s.notRecorded(refusalRequest)
	}
	op := newOperation(ctx, time.Now())
	op.finish = &journal.Finish{
		Key:         journal.HashKey(bundle.ServiceName(request.GetService()), order.Key(request.GetKey())),
		Token:       token,
		Fingerprint: fingerprint,
		Claimant:    s.claimant(),
		Result:      result,
	}
	r := s.submit(op.finish.Key.Shard(s.settings.Shards), op)
	if r.refusal != refusalNone {
		return s.notRecorded(r.refusal)
	}
	return &pb.FinishResponse{Time: s.stamp(), Recorded: true}
}
