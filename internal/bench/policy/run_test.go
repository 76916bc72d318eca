package policy

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTry(t *testing.T) {
	for _, s := range []Scenario{Kalyvas(1), Magnolia(1), Target(1)} {
		if s.Name == "target" && os.Getenv("T") == "" {
			continue
		}
		var rs []*Result
		for _, p := range append(RoutingPolicies(), Naive()) {
			st := time.Now()
			rs = append(rs, Run(s, p))
			fmt.Println(p.Name, time.Since(st))
		}
		WriteTable(os.Stdout, s.Name, rs)
	}
}
