package node

import (
	"context"
	"os"
	"time"

	"savoryweir/internal/pause"
	"savoryweir/internal/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for changes that
// come without a signal. It is shorter than the time within which new bounds must apply.
const settingsPollInterval = time.Second

// watchSettingsFile reloads the settings whenever their file changes.
func (n *Node) watchSettingsFile(ctx context.Context) {
	if n.settings.Settings == "" {
		<-ctx.Done()
		return
	}
	lastState := n.settingsFileState()
	for pause.For(ctx, settingsPollInterval) {
		if state := n.settingsFileState(); state != lastState {
			lastState = state
			n.reloadSettings()
		}
	}
}

// fileState identifies a version of a file.
type fileState struct {
	modTime time.Time
	size    int64
}

// settingsFileState returns the state of the settings file, or the zero state if the file can't
// be accessed.
func (n *Node) settingsFileState() fileState {
	info, err := os.Stat(n.settings.Settings)
	if err != nil {
		n.log.Warn().Err(err).Str("event", "settings.unread").Msg("failed to access the settings file")
		return fileState{}
	}
	return fileState{modTime: info.ModTime(), size: info.Size()}
}

// reloadSettings reads the settings file and applies its bounds, the only settings that may
// change while the process runs. If any setting is invalid, the old bounds stay.
func (n *Node) reloadSettings() {
	var s Settings
	_, err := settings.Parse(settings.Program{Name: "savoryweir-node"}, &s, []string{"--settings=" + n.settings.Settings})
	if err != nil {
		n.log.Error().Err(err).Str("event", "reload.failed").Msg("failed to reload the settings; the previous bounds stay in force")
		return
	}
	n.bounds.Store(&s.Bounds)
	n.log.Info().Str("event", "reload").Interface("bounds", s.Bounds).Msg("bounds reloaded")
}
