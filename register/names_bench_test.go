package register_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/disk"
	"swifttiller/register"
	"swifttiller/sim"
)

// emptyRecord is what the register of a permanently removed lease holder contains.
const emptyRecord = `{"incarnation":"","wire":""}`

// withRegisters opens an acceptor that holds count registers of names that are never used again,
// and runs the work on it.
func withRegisters(b *testing.B, count int, work func(node *sim.Node, acceptor *register.Acceptor, core register.Core)) {
	b.Helper()
	cluster := newTestCluster(1)
	defer cluster.Close()
	cluster.logBytes = 4 << 20
	core := cluster.core("a")
	cluster.Kill("a")
	cluster.Start("a", func(node *sim.Node) {
		options := disk.Options{World: node, Folder: node.Disk, LogBytes: 4 << 20}
		acceptor, err := register.OpenAcceptor(options, "unused")
		if err != nil {
			panic(err)
		}
		for index := range count {
			request := register.VoteRequest{Epoch: core.Epoch, Key: fmt.Sprintf("holder/machine-%d.zone-%d", index, index%34), Ballot: register.Ballot{Epoch: core.Epoch, Round: 1, Proposer: "control-7.18f2a6c0"}, Value: register.Value{Serial: 4, Data: []byte(emptyRecord)}}
			var vote register.Vote
			if err := acceptor.Accept(request, &vote); err != nil || vote.Kind != register.Granted {
				panic(fmt.Sprint(err, vote))
			}
		}
		work(node, acceptor, core)
	})
	cluster.Run(time.Hour)
}

// BenchmarkUnusedNames measures the cost of registers whose names are never used again: a
// digest of all of them, a list of their names, and a start from the disk.
func BenchmarkUnusedNames(b *testing.B) {
	for _, count := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(count, "/digest"), func(b *testing.B) {
			withRegisters(b, count, func(_ *sim.Node, acceptor *register.Acceptor, core register.Core) {
				for b.Loop() {
					var digests register.Digests
					if err := acceptor.Digest(register.Query{Epoch: core.Epoch}, &digests); err != nil {
						b.Error(err)
					}
				}
			})
		})
		b.Run(fmt.Sprint(count, "/list"), func(b *testing.B) {
			withRegisters(b, count, func(_ *sim.Node, acceptor *register.Acceptor, core register.Core) {
				for b.Loop() {
					var seen register.QueryReply
					if err := acceptor.Query(register.Query{Epoch: core.Epoch, Prefix: "holder/"}, &seen); err != nil || len(seen.Names) != count {
						b.Error(err, len(seen.Names))
					}
				}
			})
		})
		b.Run(fmt.Sprint(count, "/start"), func(b *testing.B) {
			withRegisters(b, count, func(node *sim.Node, _ *register.Acceptor, _ register.Core) {
				size := 0
				for _, name := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
					if content, err := node.Disk.Read(name); err == nil {
						size += len(content)
					}
				}
				for b.Loop() {
					if _, err := register.OpenAcceptor(disk.Options{World: node, Folder: node.Disk, LogBytes: 4 << 20}, "unused"); err != nil {
						b.Error(err)
					}
				}
				b.ReportMetric(float64(size), "disk-bytes")
			})
		})
	}
}
