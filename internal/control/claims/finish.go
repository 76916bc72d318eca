package claims

import (
	"context"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/ring"
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

// releaseWorkers is how many given-up claims are released at the same time.
const releaseWorkers = 4

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
			Service:   request.GetService(),
			Key:       request.GetKey(),
			Token:     token[:],
			Forwarded: true,
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

// release queues the end of a claim that was given up and may be recorded.
func (s *Service) release(claim *pb.ClaimRequest, key journal.KeyHash, token journal.Token) {
	s.releasing.Offer(s.newFinishTask(&pb.FinishRequest{
		Service: claim.GetService(),
		Key:     claim.GetKey(),
		Result:  &pb.OrderResult{Outcome: pb.OrderOutcome_ORDER_OUTCOME_NOT_RUN},
	}, token))
}

func (s *Service) notRecorded(why refusal) *pb.FinishResponse {
	return &pb.FinishResponse{
		Time:             s.stamp(),
		RetryAfterMillis: s.random.retryAfter(s.settings.RetrySpread).Milliseconds(),
		Reason:           string(why),
	}
}

// finishDuty sends queued results, one after another.
func (s *Service) finishDuty(ctx context.Context, queue *ring.Ring[*finishTask]) {
	for {
		task, err := queue.Get(ctx)
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
		task.request.Time = s.stamp()
		if s.finishAtOwner(ctx, task.key, task.request) {
			task.saved = true
			s.holds.end(task.token)
			s.record(timeline.KindOrderFinished, task.key, "")
			return
		}
		sleep(ctx, s.random.backoff(finishBackoff, attempt))
	}
}

// serveFinish records a result as the owner of its shard.
func (s *Service) serveFinish(ctx context.Context, request *pb.FinishRequest) *pb.FinishResponse {
	token, ok := ordermsg.TokenFromWire(request.GetToken())
	if !ok {
		return s.notRecorded(refusalRequest)
	}
	op := newOperation(ctx, time.Now())
	op.finish = &journal.Finish{
		Key:    journal.HashKey(bundle.ServiceName(request.GetService()), order.Key(request.GetKey())),
		Token:  token,
		Result: ordermsg.ResultFromWire(request.GetResult()),
	}
	r := s.submit(op.finish.Key.Shard(s.settings.Shards), op)
	if r.refusal != refusalNone {
		return s.notRecorded(r.refusal)
	}
	return &pb.FinishResponse{Time: s.stamp(), Recorded: true}
}
