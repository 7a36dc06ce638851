package register_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/disk"
	"swifttiller/register"
	"swifttiller/sim"
)

func TestLogsAreReadCheaply(t *testing.T) {
	Convey("an acceptor with hundreds of log records restarts with few allocations per record", t, func() {
		const records = 400
		cluster := newTestCluster(1)
		defer cluster.Close()
		cluster.logBytes = 1 << 20
		cluster.core("a")
		cluster.write("a", records/2, "k") // one promise and one accepted value for each write
		cluster.Kill("a")
		var before, after runtime.MemStats
		cluster.Start("a", func(node *sim.Node) {
			runtime.ReadMemStats(&before)
			_, cluster.openErrors["a"] = register.OpenAcceptor(disk.Options{World: node, Folder: node.Disk, LogBytes: 1 << 20}, "unused")
			runtime.ReadMemStats(&after)
		})
		cluster.Run(time.Millisecond)
		So(cluster.openErrors["a"], ShouldBeNil)
		each := float64(after.Mallocs-before.Mallocs) / records
		t.Logf("%.0f allocations per record", each)
		So(each, ShouldBeBetween, 5, 100)
	})
}

func TestOldLogFormat(t *testing.T) {
	Convey("log records in the older gob format can be read", t, func() {
		cluster := newTestCluster(1)
		defer cluster.Close()
		cluster.logBytes = 1 << 20
		core := cluster.core("a")
		cluster.write("a", 1, "k")
		cluster.Kill("a")
		cluster.Start("a", func(node *sim.Node) {
			store, _, _, _, err := disk.Open(disk.Options{World: node, Folder: node.Disk, LogBytes: 1 << 20})
			if err != nil {
				panic(err)
			}
			ballot := register.Ballot{Epoch: core.Epoch, Round: 99, Proposer: "z"}
			var body bytes.Buffer
			if err := gob.NewEncoder(&body).Encode(struct {
				Key  string
				Cell register.Cell
			}{"l", register.Cell{Promised: ballot, Accepted: ballot, Value: register.Value{Serial: 7, Data: []byte("old")}}}); err != nil {
				panic(err)
			}
			if err := store.Enqueue(body.Bytes())(); err != nil {
				panic(err)
			}
		})
		cluster.Run(100 * time.Millisecond)
		cluster.Kill("a")
		cluster.start("a", core)
		So(cluster.openErrors["a"], ShouldBeNil)
		read := ""
		cluster.runOn("a", 5*time.Second, func(client *register.Client) {
			values, err := client.ReadMany("k", "l")
			read = fmt.Sprintf("%s %s %v", values["k"].Data, values["l"].Data, err)
		})
		So(read, ShouldEqual, "v old <nil>")
	})
}
