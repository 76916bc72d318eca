package claims

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/orderclient"
)

// singleMember is the MemberLister and the Dialer of an instance without peers.
type singleMember struct{ self claims.Member }

func (a singleMember) Members() []claims.Member               { return []claims.Member{a.self} }
func (a singleMember) Orders(string) (pb.OrdersClient, error) { return nil, errUnreachable }

// TestOrdersOverGRPCLeaveNoGoroutine claims, finishes and resends an order over a
// real gRPC connection, and checks that no goroutine is left.
func TestOrdersOverGRPCLeaveNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	self := claims.Member{ID: "i000", Incarnation: 1}
	clock := hlc.New(time.Now)
	registry := prometheus.NewRegistry()
	service := New(Options{
		Settings: testSettings(), Self: self, Members: singleMember{self}, Dialer: singleMember{self},
		Store: objectapi.New(time.Now, objectapi.Limits{}), Recorder: timeline.NewRecorder(clock, "control", "i000", "a", 16),
		Logger: zerolog.Nop(), Registerer: registry, Random: rand.New(rand.NewPCG(1, 1)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- service.Run(ctx) }()
	defer func() { cancel(); assert.NilError(t, <-ended) }()

	server := grpc.NewServer()
	pb.RegisterOrdersServer(server, service)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	connection, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer connection.Close()

	client := orderclient.New(clientSettings(), pb.NewOrdersClient(connection), clock)
	claim := testClaim("k", "book")
	answer, err := client.Claim(ctx, claim)
	for err != nil { // the service refuses claims until Run has started
		answer, err = client.Claim(ctx, claim)
	}
	assert.Equal(t, answer.State, order.ClaimGranted)
	result := order.Result{Outcome: order.OutcomeRan, Status: 201, ContentType: "text/plain", Body: []byte("booked")}
	assert.NilError(t, client.Finish(ctx, claim, answer.Token, result))
	resend, err := client.Claim(ctx, claim)
	assert.NilError(t, err)
	assert.DeepEqual(t, resend.Result, result)
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Assert(t, len(families) >= 5)
}
