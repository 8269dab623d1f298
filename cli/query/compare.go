package query

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/fleet"
	"auburnladder.example/core/statusapi"
)

// comparison holds the explanations of several nodes for JSON.
type comparison[T any] struct {
	Nodes       []explained[T] `json:"nodes"`
	Differences []difference   `json:"differences"`
}

// explained is the explanation of one node, or why there is none.
type explained[T any] struct {
	Node        string `json:"node"`
	Error       string `json:"error,omitempty"`
	Explanation *T     `json:"explanation,omitempty"`
}

// difference is a fact in which nodes differ.
type difference struct {
	Fact string `json:"fact"`
	// Values has one element for each value that some node reports.
	Values []differentValue `json:"values"`
}

type differentValue struct {
	Value string   `json:"value"`
	Nodes []string `json:"nodes"`
}

// fact is one statement of an explanation that does not change from request to request.
type fact struct{ name, value string }

// explainAll asks the nodes and prints their explanations, and in which facts they differ if there are
// several. It returns an error if a node did not respond.
func explainAll[T any](c *console.Console, client *fleet.Client, addrs []netip.AddrPort, f *explainFlags, path string,
	show func(*console.Console, T) error, factsOf func(*T) []fact,
) error {
	cmp := comparison[T]{Differences: []difference{}}
	var facts [][]fact
	var names []string
	var failed error
	for _, addr := range addrs {
		e := explained[T]{Node: addr.String(), Explanation: new(T)}
		if err := client.Get(addr, path, e.Explanation); err != nil {
			e.Error, e.Explanation = err.Error(), nil
			failed = console.Failed("%w", err)
		} else {
			facts, names = append(facts, factsOf(e.Explanation)), append(names, e.Node)
		}
		cmp.Nodes = append(cmp.Nodes, e)
	}
	cmp.Differences = append(cmp.Differences, differences(names, facts)...)
	if err := cmp.print(c, *f.format == console.FormatJSON, show); err != nil {
		return err
	}
	return failed
}

// print prints the explanation of a single node alone, those of several nodes with their differences.
func (cmp *comparison[T]) print(c *console.Console, asJSON bool, show func(*console.Console, T) error) error {
	single := len(cmp.Nodes) == 1
	if single && cmp.Nodes[0].Explanation == nil {
		return nil
	}
	switch {
	case asJSON && single:
		return c.JSON(cmp.Nodes[0].Explanation)
	case asJSON:
		return c.JSON(cmp)
	case single:
		return show(c, *cmp.Nodes[0].Explanation)
	}
	for _, e := range cmp.Nodes {
		c.Printf("== %s\n", e.Node)
		if e.Explanation == nil {
			c.Printf("no explanation: %s\n\n", e.Error)
			continue
		}
		if err := show(c, *e.Explanation); err != nil {
			return err
		}
		c.Printf("\n")
	}
	c.Printf("== differences\n")
	if len(cmp.Differences) == 0 {
		c.Printf("none\n")
		return nil
	}
	t := newTable(c.Out, "FACT", "VALUE", "NODES")
	for _, d := range cmp.Differences {
		for _, v := range d.Values {
			t.addRow(d.Fact, orDash(v.Value), strings.Join(v.Nodes, ", "))
		}
	}
	return t.flush()
}

// differences returns the facts in which nodes differ, in the order in which they first occur. A node
// without a fact has the value "".
func differences(nodes []string, facts [][]fact) []difference {
	var order []string
	values := make([]map[string]string, len(nodes))
	for i, list := range facts {
		values[i] = make(map[string]string)
		for _, f := range list {
			values[i][f.name] = f.value
			if !slices.Contains(order, f.name) {
				order = append(order, f.name)
			}
		}
	}
	var found []difference
	for _, name := range order {
		d := difference{Fact: name}
		for i, node := range nodes {
			v := values[i][name]
			at := slices.IndexFunc(d.Values, func(o differentValue) bool { return o.Value == v })
			if at < 0 {
				at = len(d.Values)
				d.Values = append(d.Values, differentValue{Value: v})
			}
			d.Values[at].Nodes = append(d.Values[at].Nodes, node)
		}
		if len(d.Values) > 1 {
			found = append(found, d)
		}
	}
	return found
}

// requestFacts returns the facts of an explained request. Loads, ages and shares, which differ between all
// nodes, are not among them.
func requestFacts(e *statusapi.Explanation) []fact {
	facts := []fact{{"release", e.Held.String()}, {"outcome", string(e.Outcome)}, {"reason", e.Reason}}
	if r := e.Route; r != nil {
		facts = append(facts, fact{"route", r.Service + "/" + r.Name}, fact{"deadline", milliseconds(r.DeadlineMs)}, fact{"retry", r.RetryRule})
	}
	if p := e.Plan; p != nil {
		facts = append(facts, fact{"rank", fmt.Sprint(p.Rank)}, fact{"objective", milliseconds(p.ObjectiveMs)})
		for _, t := range p.Targets {
			facts = append(facts, fact{"policy for " + t.Service, t.Policy}, fact{"share of " + t.Service, fmt.Sprintf("%.3f", t.Share)})
		}
	}
	facts = append(facts, evacuationFacts(e.Evacuations)...)
	for _, s := range e.Candidates {
		facts = append(facts, candidateFacts(s)...)
	}
	return facts
}

// vmFacts returns the facts of an explained VM.
func vmFacts(e *statusapi.VMExplanation) []fact {
	facts := []fact{{"release", e.Held.String()}, {"VM", describeEligibility(e)}}
	facts = append(facts, evacuationFacts(e.Evacuations)...)
	return append(facts, candidateFacts(e.Subject)...)
}

func evacuationFacts(list []statusapi.Evacuation) []fact {
	var facts []fact
	for _, e := range list {
		facts = append(facts, fact{"evacuation of " + e.Domain, e.Key})
	}
	return facts
}

// candidateFacts returns whether a server is known, excluded, cold or refuses the rank.
func candidateFacts(s statusapi.Candidate) []fact {
	state := "usable"
	if s.Excluded != "" {
		state = s.Excluded
		if s.ExcludedBy != "" {
			state += "; by " + s.ExcludedBy
		}
	}
	facts := []fact{{"server " + s.VM, state}}
	if s.Cold != nil {
		facts = append(facts, fact{"cold " + s.VM, "by " + s.Cold.By})
	}
	if s.Wait != nil && s.Wait.Used && s.Wait.Refuses {
		facts = append(facts, fact{"wait at " + s.VM, "refuses the rank"})
	}
	return facts
}
