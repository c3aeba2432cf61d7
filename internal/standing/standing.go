// Package standing says what a broker may do for the control side in the state that it is in: which of its acts rest on a
// majority of the voters that it reached after it was asked, which it may do alone, and which it may not do at all.
//
// The package has no I/O, clock or goroutine.
package standing

// State is where a broker stands towards the register.
type State int

const (
	Starting State = iota // it does not know yet who votes
	Diskless              // it holds no replica
	Learner               // its replica holds what is chosen, and does not vote
	Voter                 // its replica votes
	Leaving               // it has been told to end
	states
)

// String names the state as the status page does.
func (s State) String() string {
	return [...]string{"starting", "diskless", "learner", "voter", "leaving"}[s]
}

// Act is something that a broker does for others, or to them.
type Act int

const (
	Vote           Act = iota // answer a proposer's messages under this disk's identity
	ProposeVoters             // begin or complete a change of the voters
	ReadNewest                // hand out the configuration as the newest
	TakeOrder                 // confirm or refuse an order of the operator
	ConfirmEnd                // acknowledge that an instance drains or has gone
	OrderInstances            // order an instance, under a lease
	RouteRequests             // send clients' requests by the configuration that is known here
	acts
)

// Condition is what an act rests on.
type Condition int

const (
	Never    Condition = iota // not in this state
	Majority                  // a majority of the voters, reached after the question came
	Alone                     // this broker's own knowledge
)

var table = [states][acts]Condition{
	//          Vote   ProposeVoters ReadNewest TakeOrder  ConfirmEnd OrderInstances RouteRequests
	Starting: {Alone, Never, Never, Never, Never, Never, Never},
	Diskless: {Never, Never, Majority, Majority, Majority, Majority, Alone},
	Learner:  {Alone, Never, Majority, Majority, Majority, Majority, Alone},
	Voter:    {Alone, Majority, Majority, Majority, Majority, Majority, Alone},
	Leaving:  {Alone, Majority, Majority, Majority, Majority, Never, Alone},
}

// Needs says what an act rests on in this state.
func (s State) Needs(a Act) Condition { return table[s][a] }

// May says whether the act is possible in this state at all.
func (s State) May(a Act) bool { return s.Needs(a) != Never }
