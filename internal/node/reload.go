package node

import (
	"context"
	"os"
	"time"

	"savoryweir/internal/pause"
	"savoryweir/internal/settings"
)

// settingsInterval is the time between two looks at the settings file, which may
// change without a signal; it is below the time within which bounds must apply.
const settingsInterval = time.Second

// followSettings reads the settings again when their file has changed.
func (n *Node) followSettings(ctx context.Context) {
	if n.settings.Settings == "" {
		<-ctx.Done()
		return
	}
	last := n.settingsChanged()
	for pause.For(ctx, settingsInterval) {
		if changed := n.settingsChanged(); changed != last {
			last = changed
			n.reloadSettings()
		}
	}
}

type fileState struct {
	changed time.Time
	size    int64
}

func (n *Node) settingsChanged() fileState {
	info, err := os.Stat(n.settings.Settings)
	if err != nil {
		n.log.Warn().Err(err).Str("event", "settings.unread").Msg("settings file can't be read")
		return fileState{}
	}
	return fileState{changed: info.ModTime(), size: info.Size()}
}

// reloadSettings puts the bounds of the settings file in force. Faulty settings
// change nothing.
func (n *Node) reloadSettings() {
	var s Settings
	_, err := settings.Parse(settings.Program{Name: "savoryweir-node"}, &s, []string{"--settings=" + n.settings.Settings})
	if err != nil {
		n.log.Error().Err(err).Str("event", "reload.failed").Msg("settings are kept as they were")
		return
	}
	n.bounds.Store(&s.Bounds)
	n.log.Info().Str("event", "reload").Interface("bounds", s.Bounds).Msg("settings read again")
}
