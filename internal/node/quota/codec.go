package quota

import (
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/quota"
)

func encodeAsk(a quota.Ask) *pb.FleetMessage {
	r := &pb.QuotaRequest{
		Id: a.ID, Process: a.Process, Group: string(a.Group), Share: a.Loan.Share, LeaseProcess: a.Loan.Process,
		LeaseClockNanos: int64(a.Loan.Clock), Releases: a.Releases,
	}
	for _, c := range a.Claims {
		r.Claims = append(r.Claims, &pb.QuotaClaim{
			Customer: c.Customer, PerSecond: c.Limits.PerSecond, Burst: c.Limits.Burst, Needs: c.Needs, Ahead: c.Ahead,
			Returned: c.Returned, ReturnedAgoMicros: uint64(max(c.ReturnedAge, 0).Microseconds()), Spent: c.Spent,
		})
	}
	return &pb.FleetMessage{QuotaRequests: []*pb.QuotaRequest{r}}
}

func decodeAsk(r *pb.QuotaRequest) quota.Ask {
	a := quota.Ask{
		ID: r.Id, Process: r.Process, Group: quota.Group(r.Group), Releases: r.Releases,
		Loan: quota.Loan{Share: r.Share, Process: r.LeaseProcess, Clock: time.Duration(r.LeaseClockNanos)},
	}
	for _, c := range r.Claims {
		a.Claims = append(a.Claims, quota.Claim{
			Customer: c.Customer, Limits: quota.Limits{PerSecond: c.PerSecond, Burst: c.Burst}, Needs: c.Needs, Ahead: c.Ahead,
			Returned: c.Returned, ReturnedAge: time.Duration(c.ReturnedAgoMicros) * time.Microsecond, Spent: c.Spent,
		})
	}
	return a
}

func encodeReply(r quota.Reply) *pb.FleetMessage {
	m := &pb.QuotaReply{Id: r.ID, Process: r.Process, ClockNanos: int64(r.Clock), Leaving: r.IsLeaving}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, &pb.QuotaGrant{
			Customer: g.Customer, Granted: uint32(g.Granted), Ahead: g.Ahead, WaitMicros: uint64(g.Wait.Microseconds()), PerSecond: g.PerSecond, Left: g.Left,
		})
	}
	return &pb.FleetMessage{QuotaReplies: []*pb.QuotaReply{m}}
}

func decodeReply(m *pb.QuotaReply) quota.Reply {
	r := quota.Reply{ID: m.Id, Process: m.Process, Clock: time.Duration(m.ClockNanos), IsLeaving: m.Leaving}
	for _, g := range m.Grants {
		r.Grants = append(r.Grants, quota.Grant{
			Customer: g.Customer, Granted: int(g.Granted), Ahead: g.Ahead, Wait: time.Duration(g.WaitMicros) * time.Microsecond, PerSecond: g.PerSecond, Left: g.Left,
		})
	}
	return r
}
