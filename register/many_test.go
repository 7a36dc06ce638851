package register_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/register"
)

func TestManyAreWrittenTogether(t *testing.T) {
	Convey("writers of the same many keys, of which one's machine ends meanwhile, leave each with the data and with all the changes that were told to be written", t, func() {
		for seed := uint64(1); seed <= uint64(few(20, 4)); seed++ {
			bench := newBench(seed)
			core := bench.core("a", "b", "c")
			data := map[string][]byte{}
			for index := range 40 {
				data[fmt.Sprintf("k%d", index)] = []byte("v")
			}
			told := map[string]int{}
			before := bench.Messages["Register.PrepareAll"]
			for _, name := range []string{"a", "b"} {
				keeper := bench.keepers[name]
				bench.Node(name).Go(func() {
					keeper.WriteAll(data, func(key string, err error) {
						if err == nil {
							told[key]++
						}
					})
				})
			}
			bench.Run(time.Duration(bench.Draw(int64(20 * time.Millisecond))))
			switch seed % 3 {
			case 0:
				bench.Kill("b")
			case 1:
				bench.Kill("c")
				bench.Run(300 * time.Millisecond)
				bench.start("c", core)
			}
			bench.Run(8 * time.Second)
			So(bench.Messages["Register.PrepareAll"]-before, ShouldBeBetween, 5, 200)
			read := 0
			bench.do("a", 10*time.Second, func(keeper *register.Keeper) {
				for key := range data {
					if value, err := keeper.Read(key); err == nil && string(value.Data) == "v" && value.Serial >= uint64(told[key]) {
						read++
					}
				}
			})
			So(len(told), ShouldEqual, len(data))
			So(read, ShouldEqual, len(data))
			bench.Close()
		}
	})
}
