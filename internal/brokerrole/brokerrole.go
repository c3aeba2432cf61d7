// Package brokerrole defines what a broker may do for the control plane in each of its states: which actions need the
// confirmation of a majority of the voters, which the broker may take on its own, and which it must not take.
//
// The package does no I/O, reads no clock and starts no goroutine.
package brokerrole

// State is a broker's role with respect to the register.
type State int

const (
	Starting State = iota // it does not know the voters yet
	Diskless              // it has no replica
	Learner               // its replica stores chosen values but does not vote
	Voter                 // its replica votes
	Leaving               // it is shutting down
	stateCount
)

// String returns the name that the status page shows.
func (s State) String() string {
	return [...]string{"starting", "diskless", "learner", "voter", "leaving"}[s]
}

// Action is an operation of a broker that affects others.
type Action int

const (
	Vote           Action = iota // answer a proposer's messages under this disk's identity
	ProposeVoters                // start or complete a change of the voters
	ReadNewest                   // return the configuration as the newest
	TakeOrder                    // confirm or reject an order of the operator
	ConfirmEnd                   // acknowledge that an instance is draining or gone
	OrderInstances               // order an instance, under a lease
	RouteRequests                // route clients' requests by the configuration known locally
	actionCount
)

// Requirement is the condition for an action.
type Requirement int

const (
	Never    Requirement = iota // not allowed in this state
	Majority                    // contact with a majority of the voters after the request arrived
	Local                       // this broker's own knowledge is enough
)

var requirements = [stateCount][actionCount]Requirement{
	//          Vote   ProposeVoters ReadNewest TakeOrder  ConfirmEnd OrderInstances RouteRequests
	Starting: {Local, Never, Never, Never, Never, Never, Never},
	Diskless: {Never, Never, Majority, Majority, Majority, Majority, Local},
	Learner:  {Local, Never, Majority, Majority, Majority, Majority, Local},
	Voter:    {Local, Majority, Majority, Majority, Majority, Majority, Local},
	Leaving:  {Local, Majority, Majority, Majority, Majority, Never, Local},
}

// Requires returns the condition for an action in this state.
func (s State) Requires(a Action) Requirement { return requirements[s][a] }

// Allows reports whether the action is possible in this state at all.
func (s State) Allows(a Action) bool { return s.Requires(a) != Never }
