package node

import (
	"fmt"
	"reflect"

	"auburnladder.example/core/retry"
	"auburnladder.example/node/settings"
	"github.com/rs/zerolog"
)

// Reload applies settings that changed while the node runs: the log level, and with a key-value
// store the retry budget, the durations of the stop and the seeds. All other fields take effect
// only after a restart; a change of those that changedRestartFields compares is logged.
// It may be called from any goroutine.
func (n *Node) Reload(next *settings.Settings) {
	old := n.current.Swap(next)
	if reflect.DeepEqual(old, next) {
		return
	}
	level, err := zerolog.ParseLevel(next.Log.Level)
	if err == nil {
		zerolog.SetGlobalLevel(level)
	}
	if n.store != nil {
		n.router.SetFleetBudget(fleetBudget(next.Retry))
	}
	event := n.log.Info().Str("event", "settings-changed")
	if restartFields := changedRestartFields(old, next); len(restartFields) > 0 {
		event = n.log.Warn().Str("event", "settings-changed").Strs("only_at_start", restartFields)
	}
	event.Msg("settings file changed")
}

// changedRestartFields lists changed fields that take effect only after a restart, each with
// its old and its new value.
func changedRestartFields(old, next *settings.Settings) []string {
	fields := []struct {
		name     string
		old, new any
	}{
		{"vm", old.VM, next.VM},
		{"listen", old.Listen, next.Listen},
		{"server", old.Server, next.Server},
		{"platform.addresses", old.Platform.Addresses, next.Platform.Addresses},
		{"platform.kind", old.Platform.Kind, next.Platform.Kind},
		{"approval_keys", old.ApprovalKeys, next.ApprovalKeys},
		{"peer_tls", old.PeerTLS, next.PeerTLS},
		{"trace", old.Trace, next.Trace},
	}
	var changed []string
	for _, f := range fields {
		if !reflect.DeepEqual(f.old, f.new) {
			changed = append(changed, fmt.Sprintf("%s: %v -> %v", f.name, f.old, f.new))
		}
	}
	return changed
}

// fleetBudget returns a function that computes the retry budget of one node when a deployment's
// budget is divided evenly among a number of nodes. Half of the slack is available at once, as
// burst, and the other half is refilled over the window, so that a node spends about its share
// of the slack within one window. The burst is at least 1.
func fleetBudget(r settings.Retry) func(nodes int) retry.BudgetConfig {
	return func(nodes int) retry.BudgetConfig {
		slack := budgetShare * float64(r.Slack) / float64(nodes)
		return retry.BudgetConfig{
			Ratio:     budgetShare * r.Ratio,
			PerSecond: slack / 2 / r.Window.Std().Seconds(),
			Burst:     max(1, int(slack/2)),
		}
	}
}

// budgetShare is the fraction of the deployment's retry budget that is divided among the
// nodes. The rest is reserved for nested calls, which the server of a retried call makes again.
const budgetShare = 0.5
