package register_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/register"
)

func TestBatchWrite(t *testing.T) {
	Convey("after two concurrent writers of the same keys and a crash, every key has the data and all changes that were reported as written", t, func() {
		for seed := uint64(1); seed <= uint64(iterations(20, 4)); seed++ {
			cluster := newTestCluster(seed)
			core := cluster.core("a", "b", "c")
			data := map[string][]byte{}
			for index := range 40 {
				data[fmt.Sprintf("k%d", index)] = []byte("v")
			}
			written := map[string]int{}
			before := cluster.Messages["Register.PrepareAll"]
			for _, name := range []string{"a", "b"} {
				client := cluster.clients[name]
				cluster.Node(name).Go(func() {
					client.WriteAll(data, func(key string, err error) {
						if err == nil {
							written[key]++
						}
					})
				})
			}
			cluster.Run(time.Duration(cluster.Draw(int64(20 * time.Millisecond))))
			switch seed % 3 {
			case 0:
				cluster.Kill("b")
			case 1:
				cluster.Kill("c")
				cluster.Run(300 * time.Millisecond)
				cluster.start("c", core)
			}
			cluster.Run(8 * time.Second)
			So(cluster.Messages["Register.PrepareAll"]-before, ShouldBeBetween, 5, 200)
			read := 0
			cluster.runOn("a", 10*time.Second, func(client *register.Client) {
				for key := range data {
					if value, err := client.Read(key); err == nil && string(value.Data) == "v" && value.Serial >= uint64(written[key]) {
						read++
					}
				}
			})
			So(len(written), ShouldEqual, len(data))
			So(read, ShouldEqual, len(data))
			cluster.Close()
		}
	})
}
