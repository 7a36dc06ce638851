package controlplane

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/register"
	"swifttiller/session"
)

// The reconciler of the core as a model: its own rules (Tend, Next, mayBeMade) among machines
// that lose power, disks and the others' hearing, in all orders. What an acceptor holds is
// abstract: whether it has the newest acknowledged value.

// modelReplaceAfter is how long an acceptor may be unheard before another takes its place.
const modelReplaceAfter = time.Second

// Levels of silence of an acceptor.
const (
	live = iota
	silentShort
	silentLong     // for the bound
	silentVeryLong // for dropAfter bounds
)

// modelMachine is a machine with a disk; its life counts the disks that it had.
type modelMachine struct {
	life  int
	isUp  bool
	holds bool // the newest acknowledged value
}

// modelVote is a vote of the core, of one disk.
type modelVote struct {
	machine, life int
	silence       int
	isInStep      bool // it holds the core's epoch
}

// modelState is one state; wipes counts the disks that were lost.
type modelState struct {
	machines []modelMachine
	votes    []modelVote
	wipes    int
}

// modelRules are the rules that are tried: the product's, or planted bugs.
type modelRules struct {
	plan   func(core register.Core, seen map[string]AcceptorView, bound time.Duration) (CoreChange, bool)
	isSafe func(step CoreChange, core, next register.Core, inStep map[string]bool, answered int) bool
	// tolerates tells whether the environment may take a disk while so many of the votes are
	// lost or not whole, that one included.
	tolerates func(lacking, votes int) bool
}

var productRules = modelRules{
	plan:      PlanCoreChange,
	isSafe:    CoreChange.isSafe,
	tolerates: func(lacking, votes int) bool { return lacking <= (votes-1)/2 },
}

func (state modelState) clone() modelState {
	state.machines, state.votes = slices.Clone(state.machines), slices.Clone(state.votes)
	return state
}

// key is the same for states that differ only in which machine is which.
func (state modelState) key() string {
	rows := make([]string, len(state.machines))
	for at, machine := range state.machines {
		row := fmt.Sprint(machine.isUp, machine.holds)
		for _, vote := range state.votes {
			if vote.machine == at {
				row += fmt.Sprint(" ", vote.life == machine.life, vote.silence, vote.isInStep)
			}
		}
		rows[at] = row
	}
	slices.Sort(rows)
	return fmt.Sprint(state.wipes, strings.Join(rows, "|"))
}

func identity(machine, life int) string { return fmt.Sprintf("m%d-%d", machine, life) }

// isAlive tells that the vote's disk still exists and its machine runs.
func (state modelState) isAlive(vote modelVote) bool {
	machine := state.machines[vote.machine]
	return machine.isUp && machine.life == vote.life
}

// exists tells that the vote's disk does.
func (state modelState) exists(vote modelVote) bool {
	return state.machines[vote.machine].life == vote.life
}

// voters are the votes that can be had now.
func (state modelState) voters() (at []int) {
	for index, vote := range state.votes {
		if state.isAlive(vote) && vote.isInStep {
			at = append(at, index)
		}
	}
	return at
}

func (state modelState) majority() int { return len(state.votes)/2 + 1 }

// core is the register's view of the votes.
func (state modelState) core() (core register.Core) {
	core.Epoch = 1
	for _, vote := range state.votes {
		name := fmt.Sprint("m", vote.machine)
		core.Members = append(core.Members, register.Member{ID: identity(vote.machine, vote.life), Address: name, Name: name})
	}
	return core
}

// seen is what the reconciler sees.
func (state modelState) seen() map[string]AcceptorView {
	unheard := []time.Duration{0, modelReplaceAfter / 2, modelReplaceAfter, shrinkAfter * modelReplaceAfter}
	seen := map[string]AcceptorView{}
	for at, machine := range state.machines {
		if machine.isUp {
			name := fmt.Sprint("m", at)
			member := session.Member{Name: name, Wire: name, Region: fmt.Sprint("r", at%3), Zone: fmt.Sprint("r", at%3, "-1"), Acceptor: identity(at, machine.life)}
			seen[member.Acceptor] = AcceptorView{Member: member, IsMember: true}
		}
	}
	for _, vote := range state.votes {
		if !state.isAlive(vote) {
			seen[identity(vote.machine, vote.life)] = AcceptorView{Member: session.Member{Name: fmt.Sprint("m", vote.machine)}, SilentFor: unheard[vote.silence]}
		}
	}
	return seen
}

// lacking counts the votes that are lost, silent or not whole.
func (state modelState) lacking() (count int) {
	for _, vote := range state.votes {
		if !state.isAlive(vote) || !vote.isInStep || !state.machines[vote.machine].holds {
			count++
		}
	}
	return count
}

// losesValue tells whether a majority could answer without the newest acknowledged value.
func (state modelState) losesValue() bool {
	without := 0
	for _, vote := range state.votes {
		if state.exists(vote) && vote.isInStep && !state.machines[vote.machine].holds {
			without++
		}
	}
	return without >= state.majority()
}

// nextState is a state that a step leads to.
type nextState struct {
	step  string
	state modelState
}

// subsets gives all choices of so many of the numbers.
func subsets(numbers []int, count int) (out [][]int) {
	if count == 0 {
		return [][]int{nil}
	}
	for at := range numbers {
		for _, rest := range subsets(numbers[at+1:], count-1) {
			out = append(out, append([]int{numbers[at]}, rest...))
		}
	}
	return out
}

// steps are all that may happen next.
func (state modelState) steps(rules modelRules, mostWipes int) (out []nextState) {
	add := func(name string, change func(next *modelState)) {
		next := state.clone()
		change(&next)
		out = append(out, nextState{name, next})
	}
	for at, machine := range state.machines {
		if machine.isUp {
			add(fmt.Sprint("m", at, " goes silent"), func(next *modelState) { next.down(at) })
		} else {
			add(fmt.Sprint("m", at, " is back"), func(next *modelState) { next.up(at) })
		}
		if state.wipes < mostWipes {
			wiped := state.clone()
			wiped.down(at)
			wiped.machines[at].life++
			wiped.machines[at].holds = false
			wiped.wipes++
			if rules.tolerates(wiped.lacking(), len(wiped.votes)) {
				out = append(out, nextState{fmt.Sprint("m", at, " loses its disk"), wiped})
			}
		}
	}
	if slices.ContainsFunc(state.votes, func(vote modelVote) bool { return vote.silence > live && vote.silence < silentVeryLong }) {
		add("time passes", func(next *modelState) {
			for at := range next.votes {
				if next.votes[at].silence > live {
					next.votes[at].silence = min(silentVeryLong, next.votes[at].silence+1)
				}
			}
		})
	}
	voters := state.voters()
	if len(voters) >= state.majority() {
		for _, takers := range subsets(voters, state.majority()) {
			add(fmt.Sprint("a value is acknowledged by ", takers), func(next *modelState) {
				for at := range next.machines {
					next.machines[at].holds = false
				}
				for _, at := range takers {
					next.machines[next.votes[at].machine].holds = true
				}
			})
		}
		for at, vote := range state.votes {
			if state.isAlive(vote) && (!vote.isInStep || !state.machines[vote.machine].holds) {
				add(fmt.Sprint("m", vote.machine, " catches up"), func(next *modelState) {
					next.votes[at].isInStep, next.machines[vote.machine].holds = true, true
				})
			}
		}
	}
	return append(out, state.reconciled(rules)...)
}

func (state *modelState) down(machine int) {
	state.machines[machine].isUp = false
	for at := range state.votes {
		if state.votes[at].machine == machine && state.votes[at].silence == live {
			state.votes[at].silence = silentShort
		}
	}
}

func (state *modelState) up(machine int) {
	state.machines[machine].isUp = true
	for at := range state.votes {
		if vote := &state.votes[at]; vote.machine == machine && state.exists(*vote) {
			vote.silence = live
		}
	}
}

// reconciled are the states after a turn of the reconciler: the change is taken over by any
// majority of the next core.
func (state modelState) reconciled(rules modelRules) (out []nextState) {
	core, seen := state.core(), state.seen()
	step, isDue := rules.plan(core, seen, modelReplaceAfter)
	if !isDue || len(state.voters()) < state.majority() {
		return nil
	}
	inStep, answered := map[string]bool{}, 0
	for _, vote := range state.votes {
		if state.isAlive(vote) {
			answered++
			inStep[identity(vote.machine, vote.life)] = vote.isInStep
			if !vote.isInStep {
				delete(inStep, identity(vote.machine, vote.life))
			}
		}
	}
	members := step.Next(core, seen)
	next := register.Core{Epoch: core.Epoch + 1, Members: members}
	if !rules.isSafe(step, core, next, inStep, answered) {
		return nil
	}
	changed := state.clone()
	changed.votes = nil
	var alive []int
	for _, member := range members {
		vote := modelVote{isInStep: false}
		if _, err := fmt.Sscanf(member.ID, "m%d-%d", &vote.machine, &vote.life); err != nil {
			panic(err)
		}
		for _, before := range state.votes {
			if before.machine == vote.machine && before.life == vote.life {
				vote.silence = before.silence
			}
		}
		if state.isAlive(vote) {
			alive = append(alive, len(changed.votes))
		}
		changed.votes = append(changed.votes, vote)
	}
	for _, takers := range subsets(alive, changed.majority()) {
		after := changed.clone()
		for _, at := range takers {
			after.votes[at].isInStep = true
			after.machines[after.votes[at].machine].holds = true
		}
		out = append(out, nextState{fmt.Sprintf("the core becomes %v, taken over by %v", members, takers), after})
	}
	return out
}

// settles tells whether the core becomes whole again once nothing more happens to it and all
// machines are back.
func (state modelState) settles(rules modelRules) bool {
	state = state.clone()
	for at := range state.machines {
		state.up(at)
	}
	state = state.settled(rules)
	return state.lacking() == 0 && len(state.votes) == min(len(state.machines), MaxVotes)
}

// replaces tells whether no vote stays lost where a majority can vote and another machine runs
// that has none.
func (state modelState) replaces(rules modelRules) bool {
	if len(state.voters()) < state.majority() {
		return true // nothing can be done
	}
	state = state.settled(rules)
	spares := 0
	for at, machine := range state.machines {
		if machine.isUp && !slices.ContainsFunc(state.votes, func(vote modelVote) bool { return vote.machine == at && vote.life == machine.life }) {
			spares++
		}
	}
	return spares == 0 || state.lacking() == 0
}

// settled is the state that the core comes to if nothing more happens to its machines.
func (state modelState) settled(rules modelRules) modelState {
	state = state.clone()
	for range 40 {
		voters := state.voters()
		if len(voters) >= state.majority() {
			for at, vote := range state.votes {
				if state.isAlive(vote) {
					state.votes[at].isInStep, state.machines[vote.machine].holds = true, true
				}
			}
		}
		for at := range state.votes {
			if state.votes[at].silence > live {
				state.votes[at].silence = silentVeryLong
			}
		}
		next := state.reconciled(rules)
		if len(next) == 0 {
			break
		}
		state = next[0].state
	}
	return state
}

// modelReport is what an exploration saw.
type modelReport struct {
	states, depth int
	broken        []string // the steps to the first broken promise
	why           string
}

// explore visits all states, those that differ in names alone once.
func explore(machines, votes, mostWipes int, rules modelRules) (report modelReport) {
	first := modelState{}
	for at := range machines {
		first.machines = append(first.machines, modelMachine{life: 1, isUp: true, holds: at < votes})
	}
	for at := range votes {
		first.votes = append(first.votes, modelVote{machine: at, life: 1, isInStep: true})
	}
	type visit struct {
		state  modelState
		before *visit
		step   string
		depth  int
	}
	queue := []*visit{{state: first}}
	seen := map[string]bool{first.key(): true}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		report.depth = max(report.depth, current.depth)
		switch {
		case current.state.losesValue():
			report.why = "a majority can answer without the newest acknowledged value"
		case !current.state.settles(rules):
			report.why = "the core does not become whole again"
		case !current.state.replaces(rules):
			report.why = "a lost vote is not replaced though a machine waits"
		}
		if report.why != "" {
			for at := current; at != nil; at = at.before {
				report.broken = append([]string{at.step}, report.broken...)
			}
			break
		}
		for _, next := range current.state.steps(rules, mostWipes) {
			if key := next.state.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, &visit{next.state, current, next.step, current.depth + 1})
			}
		}
	}
	report.states = len(seen)
	return report
}

// TestReconcilerModel: whatever happens to the machines of a core, in any order, within what the
// core tolerates at each moment, no acknowledged value is lost, and the core is whole again
// once that is over.
func TestReconcilerModel(t *testing.T) {
	for _, world := range []struct{ machines, votes, wipes int }{{3, 3, 3}, {4, 3, 2}, {4, 4, 2}, {5, 3, 1}} {
		t.Run(fmt.Sprintf("%d machines, %d votes", world.machines, world.votes), func(t *testing.T) {
			t.Parallel()
			report := explore(world.machines, world.votes, world.wipes, productRules)
			t.Logf("all %d states, %d steps deep, with %d disks lost at the most", report.states, report.depth, world.wipes)
			if report.why != "" {
				t.Errorf("broken promise: %s:\n%s", report.why, strings.Join(report.broken, "\n"))
			}
		})
	}
}

// without gives the product's rules but for steps that are like that.
func without(isLike func(step CoreChange) bool) modelRules {
	rules := productRules
	rules.plan = func(core register.Core, seen map[string]AcceptorView, bound time.Duration) (CoreChange, bool) {
		step, isDue := PlanCoreChange(core, seen, bound)
		return step, isDue && !isLike(step)
	}
	return rules
}

// TestReconcilerModelSeesBugs: the model finds rules that never replace, never grow or never
// may make a step, and an environment that takes more disks than are tolerated.
func TestReconcilerModelSeesBugs(t *testing.T) {
	allInStep := productRules
	allInStep.isSafe = func(_ CoreChange, core, _ register.Core, inStep map[string]bool, _ int) bool {
		return len(inStep) == len(core.Members)
	}
	anyLoss := productRules
	anyLoss.tolerates = func(int, int) bool { return true }
	for name, rules := range map[string]modelRules{
		"lost ones are not replaced":     without(func(step CoreChange) bool { return step.Remove != "" }),
		"newcomers stay out":             without(func(step CoreChange) bool { return step.NeedsAll && step.Add != "" }),
		"steps only while all are there": allInStep,
		"any disks are lost":             anyLoss,
	} {
		report := explore(4, 3, 2, rules)
		t.Logf("%s: %s, after %d states", name, report.why, report.states)
		if report.why == "" {
			t.Errorf("%s is not seen", name)
		}
	}
}
