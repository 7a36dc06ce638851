package register_test

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/loop"
	"swifttiller/register"
)

// sharedReadHistory lets writers change two keys while several readers on each machine read both
// keys in one request, mostly concurrently, so that rounds are shared and most values are cached.
// It returns the history of each key, the number of reads and the number of read rounds.
func sharedReadHistory(seed uint64, fault func(cluster *testCluster)) (map[string][]operation, int, uint64) {
	cluster := newTestCluster(seed)
	defer cluster.Close()
	names := []string{"a", "b", "c"}
	cluster.core(names...)
	keys := []string{"k", "l"}
	padding := "" // long values are sent differently from short ones
	if seed%2 == 1 {
		padding = strings.Repeat(".", 600)
	}
	var entries []*operation
	keyOf := map[*operation]string{}
	reads := 0
	for _, name := range names {
		client, node := cluster.clients[name], cluster.Node(name)
		for _, key := range keys {
			node.Go(func() {
				for turn := 0; turn < 4; turn++ {
					op := &operation{begin: node.Now(), write: true, value: name + strconv.Itoa(turn) + padding, uncertain: true}
					entries = append(entries, op)
					keyOf[op] = key
					_, err := client.Update(key, func(value register.Value) ([]byte, error) {
						op.previous = string(value.Data)
						return []byte(op.value), nil
					})
					op.end = node.Now()
					if err == nil {
						op.uncertain = false
					} else if !errors.Is(err, register.ErrUncertain) {
						op.value = "never"
					}
					loop.Sleep(node, time.Duration(node.RandN(int64(60*time.Millisecond))))
				}
			})
		}
		for reader := 0; reader < 3; reader++ {
			node.Go(func() {
				for turn := 0; turn < 4; turn++ {
					begin := node.Now()
					values, err := client.ReadMany(keys...)
					if err == nil {
						reads++
						for _, key := range keys {
							op := &operation{begin: begin, end: node.Now(), value: string(values[key].Data)}
							entries = append(entries, op)
							keyOf[op] = key
						}
					}
					loop.Sleep(node, time.Duration(node.RandN(int64(20*time.Millisecond))))
				}
			})
		}
	}
	fault(cluster)
	cluster.Run(60 * time.Second)
	history := map[string][]operation{}
	for _, op := range entries {
		if op.value != "never" {
			history[keyOf[op]] = append(history[keyOf[op]], *op)
		}
	}
	rounds := uint64(0)
	for _, name := range names {
		rounds += cluster.clients[name].RoundCounters().Reads
	}
	return history, reads, rounds
}

func TestSharedReadsAreLinearizable(t *testing.T) {
	Convey("the history of each key is linearizable when reads share rounds and use cached values", t, func() {
		reads, rounds := 0, uint64(0)
		for seed := uint64(1); seed <= uint64(iterations(25, 5)); seed++ {
			histories, readCount, roundCount := sharedReadHistory(seed, func(cluster *testCluster) {
				cluster.Run(time.Duration(cluster.Draw(int64(100 * time.Millisecond))))
				switch seed % 5 {
				case 0:
					cluster.Cut("a", "b", true)
				case 1:
					cluster.Freeze("b", 3*time.Second)
				case 2:
					cluster.Split([]string{"a"}, []string{"b", "c"}, true)
					cluster.Run(time.Second)
					cluster.Split([]string{"a"}, []string{"b", "c"}, false)
				case 3:
					cluster.Faults.Delayed, cluster.Faults.Duplicated, cluster.Faults.Lost, cluster.Faults.MaxDelay = 0.05, 0.05, 0.02, 400*time.Millisecond
				}
			})
			reads += readCount
			rounds += roundCount
			for key, history := range histories {
				So(len(history), ShouldBeGreaterThan, 8)
				if !isLinearizable(history) {
					t.Fatalf("seed %d, key %s: not linear: %+v", seed, key, history)
				}
			}
		}
		So(rounds, ShouldBeLessThan, uint64(reads)) // otherwise no rounds were shared
	})
}

func TestKnownValuesAreNotSentAgain(t *testing.T) {
	Convey("reading a cached value again costs few bytes, and a new value is sent whole", t, func() {
		cluster := newTestCluster(1)
		defer cluster.Close()
		cluster.core("a", "b", "c")
		big := make([]byte, 50000)
		write := func(at string, first byte) {
			big[0] = first
			err := errors.New("not done")
			cluster.runOn(at, 5*time.Second, func(client *register.Client) {
				_, err = client.Update("k", func(register.Value) ([]byte, error) { return append([]byte{}, big...), nil })
			})
			So(err, ShouldBeNil)
		}
		read := func(at string) (value register.Value, bytes int) {
			before := cluster.Bytes["Register.Query"]
			err := errors.New("not done")
			cluster.runOn(at, 5*time.Second, func(client *register.Client) { value, err = client.Read("k") })
			So(err, ShouldBeNil)
			return value, cluster.Bytes["Register.Query"] - before
		}
		write("a", 1)
		cluster.Run(100 * time.Millisecond)
		first, fullBytes := read("b")
		So(fullBytes, ShouldBeGreaterThan, 50000)
		again, cachedBytes := read("b")
		So(cachedBytes, ShouldBeLessThan, 600)
		So(again, ShouldResemble, first)
		write("c", 2)
		cluster.Run(100 * time.Millisecond)
		next, fullBytes := read("b")
		So(fullBytes, ShouldBeGreaterThan, 50000)
		So(next.Serial, ShouldEqual, first.Serial+1)
		So(next.Data[0], ShouldEqual, byte(2))
		// The writer has its own value cached, so the acceptors don't send it for the next change.
		before := cluster.Bytes["Register.Prepare"]
		write("c", 3)
		So(cluster.Bytes["Register.Prepare"]-before, ShouldBeLessThan, 1000)
	})
}

func TestReadsWithOneAcceptorOut(t *testing.T) {
	for state, stop := range map[string]func(cluster *testCluster, name string){
		"dark":   func(cluster *testCluster, name string) { cluster.Split([]string{"a", "c"}, []string{name}, true) },
		"dead":   func(cluster *testCluster, name string) { cluster.Kill(name) },
		"frozen": func(cluster *testCluster, name string) { cluster.Freeze(name, time.Hour) },
	} {
		Convey("the first read with one acceptor "+state+" takes no longer than 200 ms, and later reads avoid it", t, func() {
			for seed := uint64(1); seed <= 5; seed++ {
				cluster := newTestCluster(seed)
				cluster.core("a", "b", "c")
				cluster.write("a", 1, "k")
				cluster.Run(time.Second)
				slowest := func(turns int) (span time.Duration) {
					for turn := 0; turn < turns; turn++ {
						startedAt := cluster.Now()
						err := errors.New("not done")
						cluster.runOn("a", 5*time.Second, func(client *register.Client) { _, err = client.Read("k") })
						So(err, ShouldBeNil)
						span = max(span, cluster.Now()-startedAt)
					}
					return span
				}
				So(slowest(20), ShouldBeLessThan, 30*time.Millisecond)
				stop(cluster, "b")
				So(slowest(1), ShouldBeLessThan, 200*time.Millisecond)
				So(slowest(20), ShouldBeLessThan, 30*time.Millisecond)
				cluster.Close()
			}
		})
	}
}

func TestQuietReadsAskAMajority(t *testing.T) {
	Convey("reads query two of three acceptors, and concurrent reads share rounds", t, func() {
		cluster := newTestCluster(1)
		defer cluster.Close()
		cluster.core("a", "b", "c")
		cluster.write("a", 1, "k")
		cost := func(readers int) (queries int) {
			before, done := cluster.Messages["Register.Query"], 0
			for index := 0; index < readers; index++ {
				cluster.Node("a").Go(func() {
					for turn := 0; turn < 10; turn++ {
						_, err := cluster.clients["a"].ReadMany("k", fmt.Sprint("own", index))
						if err != nil {
							panic(err)
						}
					}
					done++
				})
			}
			cluster.Run(5 * time.Second)
			So(done, ShouldEqual, readers)
			return cluster.Messages["Register.Query"] - before
		}
		single, many := cost(1), cost(100)
		So(single, ShouldBeLessThanOrEqualTo, 22)
		So(many, ShouldBeLessThanOrEqualTo, 2*single)
	})
}

// TestReadersDoNotOutvoteWriter guards against readers that outvote a writer. While a key is written,
// many distant daemons read it and must wait for the writer to finish. If each of them completed
// the key by a change of its own, they would outvote each other and the writer for seconds.
func TestReadersDoNotOutvoteWriter(t *testing.T) {
	const far, gap = 55 * time.Millisecond, 40 * time.Millisecond
	names := []string{"a", "b", "c", "d", "e", "f"}
	worst, slowest, failed := time.Duration(0), time.Duration(0), 0
	for seed := uint64(1); seed <= uint64(iterations(12, 3)); seed++ {
		cluster := newTestCluster(seed)
		cluster.core(names...)
		for from := range names {
			for to := range names {
				if from%3 != to%3 {
					cluster.Delay(names[from], names[to], far)
				}
			}
		}
		until := cluster.Now() + 8*time.Second
		for _, name := range names {
			client, node := cluster.clients[name], cluster.Node(name)
			node.Go(func() {
				for node.Now() < until {
					loop.Sleep(node, gap/2+time.Duration(node.RandN(int64(gap))))
					node.Go(func() {
						began := node.Now()
						if _, err := client.ReadMany("key"); err != nil {
							failed++
						}
						worst = max(worst, node.Now()-began)
					})
				}
			})
		}
		for turn := 0; cluster.Now() < until; turn++ {
			began := cluster.Now()
			if !cluster.runOn(names[turn%len(names)], 5*time.Second, func(client *register.Client) {
				if _, err := client.CompareAndSwap("key", uint64(turn), []byte("v")); err != nil {
					failed++
				}
			}) {
				t.Fatal("a write did not finish within 5 s")
			}
			slowest = max(slowest, cluster.Now()-began)
			cluster.Run(700 * time.Millisecond)
		}
	}
	t.Logf("the slowest read took %v, the slowest write %v, %d failed", worst, slowest, failed)
	if worst > 900*time.Millisecond || slowest > 700*time.Millisecond || failed > 0 {
		t.Error("outvoted: reads or writes failed or took too long")
	}
}

// TestSumsNameOneValue guards against accepting a wrong value: an acceptor may accept a change by
// its digest only if it holds the value with that digest. Otherwise it asks the proposer for the
// whole value.
func TestSumsNameOneValue(t *testing.T) {
	Convey("an accept request with the digest of another value changes nothing", t, func() {
		cluster := newTestCluster(11)
		defer cluster.Close()
		core := cluster.core("a", "b", "c")
		data := []byte(strings.Repeat("held ", 200))
		cluster.runOn("a", 10*time.Second, func(client *register.Client) { _, _ = client.CompareAndSwap("k", 0, data) })
		cluster.Run(time.Second)
		var vote register.Vote
		request := register.VoteRequest{Epoch: core.Epoch, Key: "k", Ballot: register.Ballot{Epoch: core.Epoch, Round: 99, Proposer: "p"}, Sum: register.Sum{1}}
		cluster.runOn("b", time.Second, func(*register.Client) { _ = cluster.acceptors["b"].Accept(request, &vote) })
		if vote.Kind != register.ValueMissing {
			t.Errorf("not linear: a value was accepted by the digest of another value: vote kind %d", vote.Kind)
		}
		value, err := cluster.read("c", "k")
		So(err, ShouldBeNil)
		So(string(value.Data), ShouldEqual, string(data))
	})
}

func TestKeysEncoding(t *testing.T) {
	keys := register.Keys{"config", "holder/counter-some-hall-1", "holder/counter-some-hall-12", "holder/counter-some-hall-2", "", "standing/some", "standing/some"}
	text, err := keys.GobEncode()
	if err != nil || len(text) > 70 {
		t.Errorf("the encoding has %d bytes, error %v", len(text), err)
	}
	var decoded register.Keys
	if err := decoded.GobDecode(text); err != nil || !slices.Equal(decoded, keys) {
		t.Errorf("decoded %q, error %v", decoded, err)
	}
	// Truncated or corrupt input is rejected without a panic.
	for at := range text {
		_ = decoded.GobDecode(text[:at])
		for _, corrupt := range []byte{0, 9, 127, 255} {
			spoiled := slices.Clone(text)
			spoiled[at] = corrupt
			_ = decoded.GobDecode(spoiled)
		}
	}
	if decoded.GobDecode([]byte{1, 1, 'a'}) == nil || decoded.GobDecode([]byte{0, 9, 'a'}) == nil {
		t.Error("malformed input was decoded without an error")
	}
}
