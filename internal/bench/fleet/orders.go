package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/order"
	"savoryweir/internal/transport/orderclient"
)

// orderDeadline is the time that a measured order has.
const orderDeadline = 10 * time.Second

// OrderLoad is what a run of orders came to.
type OrderLoad struct {
	Granted uint64
	Failed  uint64
}

// Orders claims and finishes orders at all processes, ratePerSecond over the
// fleet, until ctx ends. Sending does not wait for answers.
func (f *Fleet) Orders(ctx context.Context, ratePerSecond float64) (OrderLoad, error) {
	run := uuid.NewString() // keys of an earlier call are finished orders
	var granted, failed atomic.Uint64
	var group sync.WaitGroup
	interval := time.Duration(float64(time.Second) * float64(len(f.Processes)) / ratePerSecond)
	for _, p := range f.Processes {
		conn, err := grpc.NewClient("passthrough:///"+p.Local, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return OrderLoad{}, err
		}
		defer func() { _ = conn.Close() }()
		client := orderclient.New(settings.Defaults[orderclient.Settings](), pb.NewOrdersClient(conn), hlc.New(time.Now))
		group.Add(1)
		go func() {
			defer group.Done()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return
				}
				group.Add(1)
				go func() {
					defer group.Done()
					if runOrder(client, order.Key(fmt.Sprintf("%s-%s-%d", run, p.ID, n))) {
						granted.Add(1)
					} else {
						failed.Add(1)
					}
				}()
			}
		}()
	}
	group.Wait()
	return OrderLoad{Granted: granted.Load(), Failed: failed.Load()}, nil
}

// runOrder claims an order, and finishes it as if it had run at once.
func runOrder(client *orderclient.Client, key order.Key) bool {
	ctx, cancel := context.WithTimeout(context.Background(), orderDeadline)
	defer cancel()
	claim := order.Claim{Service: "bookings", Key: key, Request: string(key), Deadline: time.Now().Add(orderDeadline)}
	answer, err := client.Claim(ctx, claim)
	if err != nil || answer.State != order.ClaimGranted {
		return false
	}
	result := order.Result{Outcome: order.OutcomeRan, Status: 200, ContentType: "application/json", Body: []byte(`{"booked":true}`)}
	return client.Finish(ctx, claim, answer.Token, result) == nil
}
