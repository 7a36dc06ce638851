package serve_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/serve"
	"swifttiller/settings"
	"swifttiller/sim"
)

const file = `{"name":"c1","region":"r","zone":"z","wire":"127.0.0.1:1","http":"127.0.0.1:2","seeds":["127.0.0.1:1"]}`

func TestWatch(t *testing.T) {
	Convey("a settings file that changes is reloaded without a signal", t, func() {
		path := filepath.Join(t.TempDir(), "node.json")
		write := func(text string) { So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil) }
		write(file)
		set := flag.NewFlagSet("run", flag.PanicOnError)
		settings.ProcessFlags(set)
		first, err := settings.LoadProcess(path, set)
		So(err, ShouldBeNil)
		live := settings.NewLive(settings.LiveOptions{Process: *first, Read: func() (*settings.Process, error) { return settings.LoadProcess(path, set) }})
		world := sim.New(1)
		defer world.Close()
		stamp, reloads := serve.StampOf(path), 0
		var last settings.ReloadResult
		node := world.Node("c1")
		world.Start("c1", func(*sim.Node) {
			serve.Watch(node, path, stamp, func() { reloads++; last = live.Reload() })
		})
		world.Run(5 * time.Second)
		So(reloads, ShouldEqual, 0)
		write(strings.Replace(file, `"seeds":["127.0.0.1:1"]`, `"seeds":["127.0.0.1:7","127.0.0.1:8"]`, 1))
		world.Run(1200 * time.Millisecond)
		So(reloads, ShouldEqual, 1)
		So(live.Seeds(), ShouldResemble, []string{"127.0.0.1:7", "127.0.0.1:8"})
		// An invalid file changes nothing; nor does a missing one.
		write(file[:40])
		world.Run(3 * time.Second)
		So(reloads, ShouldEqual, 2)
		So(last.Problems, ShouldNotBeEmpty)
		So(live.Seeds(), ShouldResemble, []string{"127.0.0.1:7", "127.0.0.1:8"})
		So(os.Remove(path), ShouldBeNil)
		world.Run(3 * time.Second)
		So(reloads, ShouldEqual, 2)
		// The file is replaced by another, the second time with the same size and modification time.
		other := path + ".new"
		So(os.WriteFile(other, []byte(file), 0o600), ShouldBeNil)
		So(os.Rename(other, path), ShouldBeNil)
		world.Run(1200 * time.Millisecond)
		So(reloads, ShouldEqual, 3)
		So(live.Seeds(), ShouldResemble, []string{"127.0.0.1:1"})
		about, err := os.Stat(path)
		So(err, ShouldBeNil)
		So(os.WriteFile(other, []byte(strings.Replace(file, `127.0.0.1:1"]`, `127.0.0.1:9"]`, 1)), 0o600), ShouldBeNil)
		So(os.Chtimes(other, about.ModTime(), about.ModTime()), ShouldBeNil)
		So(os.Rename(other, path), ShouldBeNil)
		world.Run(1200 * time.Millisecond)
		So(reloads, ShouldEqual, 4)
		So(live.Seeds(), ShouldResemble, []string{"127.0.0.1:9"})
	})
}
