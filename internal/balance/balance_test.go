package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gullstair/internal/configuration"
	"gullstair/logic"
)

// fleet is a balancer with instances and routes that runs in virtual time.
type fleet struct {
	t   *testing.T
	b   *Balancer
	now float64
}

const document = `{"version":1,"services":[{"name":"llm"},{"name":"plain"}],"routes":[
{"name":"chat","host":"h","path_prefix":"/c/","kind":"streaming","resumable":true,"timeout_ms":10000,"target_latency_ms":600,"service":"llm","max_attempts":2},
{"name":"once","host":"h","path_prefix":"/o/","kind":"streaming","timeout_ms":10000,"target_latency_ms":600,"service":"llm","max_attempts":1},
{"name":"post","host":"h","path_prefix":"/p/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"plain","max_attempts":1}]}`

func newFleet(t *testing.T, limits Fleet) *fleet {
	t.Helper()
	c, err := configuration.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, b: New(1, limits)}
	f.b.SetConfiguration(f.now, c)
	var all []Instance
	for i := range 6 {
		all = append(all, Instance{ID: fmt.Sprint("l", i), Service: "llm", Zone: fmt.Sprint("z", i%3), Slots: 8, State: logic.Ready})
	}
	for i := range 2 {
		all = append(all, Instance{ID: fmt.Sprint("p", i), Service: "plain", Zone: fmt.Sprint("z", i), Slots: 8, State: logic.Ready})
	}
	f.b.SetInstances(f.now, all)
	return f
}

func limits() Fleet {
	return Fleet{Brokers: 3, Zone: "z0", BudgetWindow: 10000, BudgetRatio: 0.2, BudgetSlack: 5, MaxRetryAfter: 150}
}

func (f *fleet) route(name string) *configuration.Route {
	c, _ := configuration.Parse([]byte(document))
	for _, r := range c.Routes {
		if r.Name == name {
			return r
		}
	}
	f.t.Fatalf("no route %s", name)
	return nil
}

func (f *fleet) arrive(route string, p *Prompt) (int64, Command) {
	f.t.Helper()
	r := f.route(route)
	number, commands := f.b.Arrive(f.now, Request{Route: r, Service: r.Splits[0].Service, TimeLeft: float64(r.Timeout / time.Millisecond), Prompt: p})
	if len(commands) != 1 || commands[0].Kind != Send || commands[0].Request != number {
		f.t.Fatalf("commands: %+v", commands)
	}
	return number, commands[0]
}

func TestOneSendAtATime(t *testing.T) {
	f := newFleet(t, limits())
	for n := range 50 {
		number, c := f.arrive("chat", nil)
		f.now += 20
		if out := f.b.StreamBegan(f.now, number, 0, 20); len(out) > 0 {
			t.Fatalf("request %d: %+v", n, out)
		}
		f.now += 20
		out := f.b.AttemptEnded(f.now, number, 0, logic.Completed, 40)
		if len(out) != 1 || out[0].Kind != Finish {
			t.Fatalf("request %d at %s: %+v", n, c.Instance, out)
		}
		f.b.Forget(number)
	}
}

// TestUnsafeIsNotSentAgain ends the attempt of an unsafe request with each outcome. Only a request that never ran is sent
// to another instance.
func TestUnsafeIsNotSentAgain(t *testing.T) {
	for outcome, want := range map[logic.Outcome]CommandKind{
		logic.Severed: Fail, logic.Errored: Fail, logic.Overdue: Fail, logic.ConnRefused: Send, logic.Saturated: Send, logic.Superseded: Send,
	} {
		f := newFleet(t, limits())
		number, _ := f.arrive("post", nil)
		f.now += 5
		out := f.b.AttemptEnded(f.now, number, 0, outcome, 5)
		if len(out) != 1 || out[0].Kind != want {
			t.Errorf("outcome %d: %+v", outcome, out)
		}
	}
}

// TestAttempts breaks every attempt of a resumable stream: it is attempted as often as the route's max_attempts allows.
func TestAttempts(t *testing.T) {
	f := newFleet(t, limits())
	number, _ := f.arrive("chat", nil)
	runs := 1
	for attempt := range 5 {
		f.now += 10
		f.b.StreamBegan(f.now, number, attempt, 10)
		out := f.b.AttemptEnded(f.now, number, attempt, logic.Severed, 10)
		if len(out) != 1 {
			t.Fatalf("attempt %d: %+v", attempt, out)
		}
		if out[0].Kind != Send {
			break
		}
		runs++
	}
	if runs != 2 {
		t.Errorf("%d attempts, want 2", runs)
	}
}

// TestRetryBudget has every attempt rejected: within a window the retries of each service stay within this broker's share
// of the retry budget.
func TestRetryBudget(t *testing.T) {
	f := newFleet(t, limits())
	requests, retries := 0, 0
	for range 300 {
		number, out := f.b.Arrive(f.now, Request{Route: f.route("chat"), Service: "llm", TimeLeft: 10000})
		requests++
		for attempt := 0; len(out) == 1 && out[0].Kind == Send; attempt++ {
			out = f.b.AttemptEnded(f.now, number, attempt, logic.Saturated, 1)
			if len(out) == 1 && out[0].Kind == Send {
				retries++
			}
		}
		f.b.ClientLeft(f.now, number)
		f.b.Forget(number)
		f.now += 10
		f.b.Advance(f.now)
	}
	if budget := 0.2*float64(requests) + 5; float64(retries) > budget || retries == 0 {
		t.Errorf("%d retries for %d requests, the budget is %.0f", retries, requests, budget)
	}
	f.now += 5000 // the rejections have expired, the budget window has not
	number, _ := f.arrive("post", nil)
	if out := f.b.AttemptEnded(f.now, number, 0, logic.Saturated, 1); len(out) != 1 || out[0].Kind != Send {
		t.Errorf("the retry budget of another service was used: %+v", out)
	}
}

// TestSource checks that the instance which caches the prompt's parts is preferred, that any other instance fetches the
// parts from it, and that nothing is fetched from an instance with another version of the weights.
func TestSource(t *testing.T) {
	prompt := func(group int64) *Prompt {
		p := &Prompt{Tokens: 8000, SharedTokens: 6000, CachedTokens: map[string]float64{"l3": 6000}, WeightsVersions: map[string]int64{}, FetchMsPerToken: 0.002, CrossZoneFetchMsPerToken: 0.004}
		for i := range 6 {
			p.WeightsVersions[fmt.Sprint("l", i)] = 1
		}
		p.WeightsVersions["l3"] = group
		return p
	}
	f := newFleet(t, limits())
	_, c := f.arrive("chat", prompt(1))
	if c.Instance != "l3" || c.Source != "" {
		t.Errorf("the request does not run on the idle holder: %+v", c)
	}
	fetched := 0
	for range 20 { // the holder's slots fill up
		if _, c = f.arrive("chat", prompt(1)); c.Instance != "l3" {
			if c.Source != "l3" {
				t.Errorf("an instance without the parts does not fetch them: %+v", c)
			}
			fetched++
		}
	}
	if fetched == 0 {
		t.Error("no other instance ever ran a request")
	}
	f = newFleet(t, limits())
	for range 20 {
		if _, c := f.arrive("chat", prompt(2)); c.Source != "" {
			t.Fatalf("fetched from an instance with other weights: %+v", c)
		}
	}
}

// TestPermitted checks that a request goes only to instances that may run it.
func TestPermitted(t *testing.T) {
	f := newFleet(t, limits())
	r := f.route("chat")
	for range 20 {
		_, commands := f.b.Arrive(f.now, Request{Route: r, Service: "llm", TimeLeft: 10000, Permitted: []string{"l5"}, Restricted: true})
		if len(commands) != 1 || commands[0].Instance != "l5" {
			t.Fatalf("commands: %+v", commands)
		}
	}
}

// TestNoInstances checks that a request without any instance is refused eventually, with a retry delay.
func TestNoInstances(t *testing.T) {
	f := newFleet(t, limits())
	f.b.SetInstances(f.now, nil)
	r := f.route("chat")
	_, commands := f.b.Arrive(f.now, Request{Route: r, Service: "llm", TimeLeft: 10000})
	for len(commands) == 0 && f.now < 20000 {
		due := f.b.NextTimer()
		if math.IsInf(due, 1) {
			t.Fatal("no timer is set while the request is open")
		}
		f.now = due
		commands = f.b.Advance(f.now)
	}
	if len(commands) != 1 || commands[0].Kind != Refuse || commands[0].RetryAfter <= 0 || f.now > 700 {
		t.Errorf("at %.0f ms: %+v", f.now, commands)
	}
}

// TestConfigurationChanges adds routes while requests are open.
func TestConfigurationChanges(t *testing.T) {
	f := newFleet(t, limits())
	number, _ := f.arrive("chat", nil)
	c, err := configuration.Parse([]byte(`{"version":2,"services":[{"name":"llm"},{"name":"new"}],"routes":[
{"name":"late","host":"h","path_prefix":"/l/","kind":"safe","timeout_ms":500,"target_latency_ms":100,"service":"llm","max_attempts":3}]}`))
	if err != nil {
		t.Fatal(err)
	}
	f.b.SetConfiguration(f.now, c)
	if _, commands := f.b.Arrive(f.now, Request{Route: c.Routes[0], Service: "llm", TimeLeft: 500}); len(commands) != 1 || commands[0].Kind != Send {
		t.Errorf("a new route: %+v", commands)
	}
	f.now += 30
	if out := f.b.AttemptEnded(f.now, number, 0, logic.Completed, 30); len(out) != 1 || out[0].Kind != Finish {
		t.Errorf("an open request: %+v", out)
	}
}
